package linenring.gateway.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Path;
import java.util.List;
import linenring.routing.Idempotence;
import linenring.routing.OperationPolicy;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GatewaySettingsReaderTest {
    private static final Names NAMES = new Names(List.of("a", "b"), List.of("std"), List.of("quote", "book"), 4, 4);
    private static final String VALID = """
            // line 1
            front {
                listen "127.0.0.1:8080"
                proxy id=1 zone="b"
                mark-header "x-mark"
                operation "book" effect="fingerprinted" group="cell" window="2.5s" objective="1.2s" timeout="4s"
                operation "quote" effect="idempotent" objective="750ms" timeout="2s"
                route "GET" "/quotes" operation="quote"
                route "POST" "/" operation="book"
            }
            """;

    @Test
    void hasOperationsInOrderOfControllerAndDefaultsForTheRest() {
        GatewaySettings settings = SettingsText.parse(VALID, NAMES);
        assertEquals(
                new OperationPolicy(
                        "quote", Idempotence.IDEMPOTENT, OperationPolicy.DeduplicationScope.ZONE, 0, 750, 2000),
                settings.operations().get(0));
        assertEquals(
                new OperationPolicy(
                        "book", Idempotence.FINGERPRINTED, OperationPolicy.DeduplicationScope.CELL, 2500, 1200, 4000),
                settings.operations().get(1));
        assertEquals(
                new GatewaySettings.Route("GET", "/quotes", 0),
                settings.routes().get(0));
        assertEquals(1, settings.zone());
        assertEquals(16 << 10, settings.body().maxRetainedBytes());
        assertEquals(0.2, settings.retries().budgetShare());
    }

    /** A line of the valid file replaced, and all faults that are reported of it. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "3 | listen \"127.0.0.1\" | 3: front.listen: \"127.0.0.1\" is not an address and a port, such as \"127.0.0.1:8080\"",
                "3 | listen \"127.0.0.1:99999\" | 3: front.listen: \"127.0.0.1:99999\" is no address and port",
                "3 | listne \"127.0.0.1:80\" | 2: front: listen is missing; 3: front: listne is not known here",
                "3 | listen \"127.0.0.1:80 | 3: a quote is opened and not closed on its line",
                "4 | proxy id=1 zone=\"c\" | 4: front.proxy.zone: the controller knows no zone \"c\"; it knows a, b",
                "4 | proxy id=4 zone=\"b\" | 4: front.proxy.id: 4 is not under the controller's 4 proxies",
                "4 | proxy id=-1 zone=\"b\" | 4: front.proxy.id: -1 is not a proxy's number, from 0",
                "4 | proxy id=1 | 4: front.proxy: zone is missing",
                "4 | proxy id=true zone=\"b\" | 4: 'true' is written #true, or in quotes if text is meant",
                "5 | mark-header \"X Mark\" | 5: front.mark-header: \"X Mark\" is not a header's name in small letters",
                "5 | | 6: operation \"book\": a fingerprinted operation needs mark-header",
                "7 | operation \"quote\" effect=\"idempotent\" objective=750ms timeout=\"2s\" | 7: '750ms' is no number; text that begins with a digit stands in quotes: \"750ms\"",
                "7 | operation \"quote\" effect=\"idempotent\" objective=750 timeout=\"2s\" | 7: front.operation.objective: 750 is not a duration with its unit, such as \"750ms\" or \"2.5s\"",
                "7 | operation \"quote\" effect=\"idempotent\" objective=\"750\" timeout=\"2s\" | 7: front.operation.objective: \"750\" is not a duration with its unit, such as \"750ms\" or \"2.5s\"",
                "7 | operation \"quote\" effect=\"safe\" objective=\"750ms\" timeout=\"2s\" | 7: front.operation.effect: \"safe\" is not one of \"idempotent\", \"fingerprinted\", \"side-effecting\"",
                "7 | operation \"quote\" effect=\"idempotent\" objective=\"3s\" timeout=\"2s\" | 7: operation \"quote\": its timeout \"2s\" is under its objective \"3s\"",
                "7 | operation \"quote\" effect=\"fingerprinted\" objective=\"1s\" timeout=\"2s\" | 7: operation \"quote\": a fingerprinted operation needs the window in which hosts drop a repeat",
                "7 | operation effect=\"idempotent\" objective=\"1s\" timeout=\"2s\" | 7: front.operation: what it is called is missing",
                "7 | operation \"assign\" effect=\"idempotent\" objective=\"1s\" timeout=\"2s\" | 7: operation \"assign\": the controller knows no such operation; it knows quote, book; 2: front: operation \"quote\" of the controller is missing; 8: route \"GET\" \"/quotes\": there is no operation \"quote\"",
                "8 | route \"GET\" operation=\"quote\" | 8: front.route: [\"GET\"] is not a method and the beginning of a path",
                "8 | route \"GET\" \"/quotes\" operation=\"quotes\" | 8: route \"GET\" \"/quotes\": there is no operation \"quotes\"",
                "8 | route \"get\" \"quotes\" operation=\"quote\" | 8: route \"get\" \"quotes\": a method in capitals and a path that begins with / are expected",
                "8 | route \"POST\" \"/\" operation=\"quote\" | 9: route \"POST\" \"/\" is given a second time",
                "8 | drain 30 | 8: front.drain: 30 is not a duration with its unit, such as \"750ms\" or \"2.5s\"",
                "8 | drain \"30s\"; drain \"20s\" | 8: drain is given a second time, first on line 8",
                "8 | tries budget=20 | 8: front.tries.budget: 20 is not a share, such as \"20%\"",
                "8 | tries \"20%\" | 8: front.tries: \"20%\" is not properties such as budget=\"20%\"",
                "8 | tries \"20%\" least=1 | 8: front.tries: a value stands where properties such as name=value are expected",
                "8 | body window=\"1KiB\" | 8: front.body.window: \"1KiB\" is under 16KiB, the least frame of HTTP/2",
                "8 | body kept=\"16kb\" | 8: front.body.kept: \"16kb\" is not a size with its unit, such as \"16KiB\"",
                "8 | hosts connections=0 | 8: front.hosts.connections: 0 is not a whole number from 1",
                "8 | hosts connections=2.5 | 8: front.hosts.connections: 2.5 is not a whole number from 1",
                "8 | hosts { connections 2 | 11: the file ends before a '}' that is open",
                "8 | } } | 8: '}' can't stand here",
                "8 | hosts = 2 | 8: '=' can't stand here"
            })
    void reportsFileLineAndExpectationOfMistake(int line, String replacement, String faults) {
        String[] lines = VALID.split("\n");
        lines[line - 1] = replacement == null ? "" : replacement;
        GatewaySettingsReader.Outcome read =
                GatewaySettingsReader.read("f.kdl", String.join("\n", lines) + "\n", NAMES);
        assertNull(read.settings());
        String expected = "f.kdl:"
                + faults.replace("; ", "; f.kdl:")
                        .replace("; f.kdl:it knows", "; it knows")
                        .replace("; f.kdl:text that", "; text that");
        assertEquals(expected, String.join("; ", read.faults()));
    }

    @Test
    void reportsMissingFileInOneLine() {
        assertEquals(
                List.of("/no/such.kdl: cannot be read"),
                GatewaySettingsReader.read(Path.of("/no/such.kdl"), NAMES).faults());
    }
}
