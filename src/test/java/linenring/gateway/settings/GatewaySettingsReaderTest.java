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
    void ordersOperationsLikeControllerAndFillsInDefaults() {
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

    /** Each case replaces one line of the valid file and lists all faults that are reported. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "3 | listen \"127.0.0.1\" | 3: front.listen: \"127.0.0.1\" is not an address and a port, such as \"127.0.0.1:8080\"",
                "3 | listen \"127.0.0.1:99999\" | 3: front.listen: \"127.0.0.1:99999\" is not a valid address and port",
                "3 | listne \"127.0.0.1:80\" | 2: front: listen is missing; 3: front: listne is not a known key here",
                "3 | listen \"127.0.0.1:80 | 3: expected a closing quote on the same line",
                "4 | proxy id=1 zone=\"c\" | 4: front.proxy.zone: zone \"c\" is not configured in the controller; expected one of a, b",
                "4 | proxy id=4 zone=\"b\" | 4: front.proxy.id: 4 must be below the controller's number of proxies, which is 4",
                "4 | proxy id=-1 zone=\"b\" | 4: front.proxy.id: -1 is not a proxy number of at least 0",
                "4 | proxy id=1 | 4: front.proxy: zone is missing",
                "4 | proxy id=true zone=\"b\" | 4: 'true' is written #true, or in quotes if text is meant",
                "5 | mark-header \"X Mark\" | 5: front.mark-header: \"X Mark\" is not a header name in lower case",
                "5 | | 6: operation \"book\": a fingerprinted operation requires mark-header",
                "7 | operation \"quote\" effect=\"idempotent\" objective=750ms timeout=\"2s\" | 7: '750ms' is not a number; text that begins with a digit must be in quotes: \"750ms\"",
                "7 | operation \"quote\" effect=\"idempotent\" objective=750 timeout=\"2s\" | 7: front.operation.objective: 750 is not a duration with its unit, such as \"750ms\" or \"2.5s\"",
                "7 | operation \"quote\" effect=\"idempotent\" objective=\"750\" timeout=\"2s\" | 7: front.operation.objective: \"750\" is not a duration with its unit, such as \"750ms\" or \"2.5s\"",
                "7 | operation \"quote\" effect=\"safe\" objective=\"750ms\" timeout=\"2s\" | 7: front.operation.effect: \"safe\" is not one of \"idempotent\", \"fingerprinted\", \"side-effecting\"",
                "7 | operation \"quote\" effect=\"idempotent\" objective=\"3s\" timeout=\"2s\" | 7: operation \"quote\": timeout \"2s\" must be at least the objective \"3s\", which must be above 0",
                "7 | operation \"quote\" effect=\"fingerprinted\" objective=\"1s\" timeout=\"2s\" | 7: operation \"quote\": a fingerprinted operation requires window, the time for which hosts drop a duplicate request",
                "7 | operation effect=\"idempotent\" objective=\"1s\" timeout=\"2s\" | 7: front.operation: its name is missing",
                "7 | operation \"assign\" effect=\"idempotent\" objective=\"1s\" timeout=\"2s\" | 7: operation \"assign\": not configured in the controller; expected one of quote, book; 2: front: the controller's operation \"quote\" is missing; 8: route \"GET\" \"/quotes\": operation \"quote\" is not defined",
                "8 | route \"GET\" operation=\"quote\" | 8: front.route: [\"GET\"] is not a method and a path prefix",
                "8 | route \"GET\" \"/quotes\" operation=\"quotes\" | 8: route \"GET\" \"/quotes\": operation \"quotes\" is not defined",
                "8 | route \"get\" \"quotes\" operation=\"quote\" | 8: route \"get\" \"quotes\": expected a method in upper case and a path that starts with /",
                "8 | route \"POST\" \"/\" operation=\"quote\" | 9: route \"POST\" \"/\" is defined more than once",
                "8 | drain 30 | 8: front.drain: 30 is not a duration with its unit, such as \"750ms\" or \"2.5s\"",
                "8 | drain \"30s\"; drain \"20s\" | 8: drain is defined more than once, first on line 8",
                "8 | tries budget=20 | 8: front.tries.budget: 20 is not a percentage, such as \"20%\"",
                "8 | tries \"20%\" | 8: front.tries: \"20%\" is not properties such as budget=\"20%\"",
                "8 | tries \"20%\" least=1 | 8: front.tries: expected properties such as name=value, found a value",
                "8 | body window=\"1KiB\" | 8: front.body.window: \"1KiB\" is below 16KiB, the smallest frame size limit that HTTP/2 allows",
                "8 | body kept=\"16kb\" | 8: front.body.kept: \"16kb\" is not a size with its unit, such as \"16KiB\"",
                "8 | hosts connections=0 | 8: front.hosts.connections: 0 is not an integer of at least 1",
                "8 | hosts connections=2.5 | 8: front.hosts.connections: 2.5 is not an integer of at least 1",
                "8 | hosts { connections 2 | 11: expected a '}' before the end of the file",
                "8 | } } | 8: '}' is not allowed here",
                "8 | hosts = 2 | 8: '=' is not allowed here"
            })
    void reportsFileLineAndExpectedValueOfFault(int line, String replacement, String faults) {
        String[] lines = VALID.split("\n");
        lines[line - 1] = replacement == null ? "" : replacement;
        GatewaySettingsReader.Outcome outcome =
                GatewaySettingsReader.read("f.kdl", String.join("\n", lines) + "\n", NAMES);
        assertNull(outcome.settings());
        String expected = "f.kdl:"
                + faults.replace("; ", "; f.kdl:")
                        .replace("; f.kdl:expected one of", "; expected one of")
                        .replace("; f.kdl:text that", "; text that");
        assertEquals(expected, String.join("; ", outcome.faults()));
    }

    @Test
    void reportsMissingFileInOneLine() {
        assertEquals(
                List.of("/no/such.kdl: cannot be read"),
                GatewaySettingsReader.read(Path.of("/no/such.kdl"), NAMES).faults());
    }
}
