package linenring.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ControllerConfigurationReaderTest {
    private static final String GOOD = """
            {"name":"n3","listen":"127.0.0.4:3000","discovery":"127.0.0.1:8500","seed":"8c1f","extra":{"a":[{"b":1}]},
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":["10.3.0.1:7946"],
             "known":{"version":41,"full":true,"servers":[{"id":"s-1","zone":"b","kind":"m1","state":"Ready"}]},
             "settings":{"Azs":["a","b"],"Kinds":["m1"],"Quantum":4000,
              "Classes":[{"Name":"lookup","Aim":750000,"Points":2.0,"OnlyZones":["b"]},{"Name":"order","Aim":1200000,"Points":3}],
              "Contract":{"Cold":18000000,"ColdFrom":0.18,"StopSendingWithin":2500000},
              "Specifics":{"ProxyCount":6,"PushRate":1200.0,"MostWaiting":1800.0,"UpdateCap":30,"HomeOnly":[false,true],
               "ThrottleBy":"fraction"}}}""";

    private static ControllerConfiguration.Outcome read(String text) {
        return ControllerConfigurationReader.read(Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void nestedSettingsBecomeTheSameFiguresInMilliseconds() {
        ControllerConfiguration c = read(GOOD).assignment();
        assertEquals(750, c.figures().operations().get(0).objectiveMs());
        assertEquals(2, c.figures().operations().get(0).zones()); // the second zone alone
        assertEquals(-1, c.figures().operations().get(1).zones());
        assertTrue(c.figures().operations().get(1).homeZoneOnly());
        assertEquals(18_000, c.figures().coldStart().warmAfterMs());
        assertEquals(2500, c.figures().channel().drainGraceMs());
        assertEquals(4, c.names().quantum());
        assertEquals(1, c.known().entries().get(0).zone());
        assertEquals("/127.0.0.4:3000", c.listen().toString());
    }

    @Test
    void theFilesDiscoveryGoesBeforeTheEnvironmentsWhichIsThatOfTheStart() {
        Map<String, String> stale = Map.of("GW_DISCOVERY", "127.0.0.1:8600");
        assertEquals(
                8500,
                ControllerConfigurationReader.read(stale, GOOD.getBytes(StandardCharsets.UTF_8))
                        .assignment()
                        .discovery()
                        .getPort());
        String none = GOOD.replace("\"discovery\"", "\"was\"");
        assertEquals(
                8600,
                ControllerConfigurationReader.read(stale, none.getBytes(StandardCharsets.UTF_8))
                        .assignment()
                        .discovery()
                        .getPort());
    }

    @Test
    void keysThatCannotChangeWhileItRunsAreNamed() {
        ControllerConfiguration held = read(GOOD).assignment();
        assertEquals(
                List.of(),
                held.fixedKeysThatDiffer(read(GOOD.replace("127.0.0.1:8500", "127.0.0.1:9")
                                .replace("\"seed\":\"8c1f\"", "\"seed\":\"9\"")
                                .replace("\"version\":41", "\"version\":50"))
                        .assignment()));
        assertEquals(
                List.of("name", "listen", "limits.sockets", "settings"),
                held.fixedKeysThatDiffer(read(GOOD.replace("n3", "n4")
                                .replace(":3000", ":3001")
                                .replace("1024", "512")
                                .replace("1800.0", "900"))
                        .assignment()));
    }

    @Test
    void theEnvironmentGoesBeforeTheFile() {
        ControllerConfiguration c = ControllerConfigurationReader.read(
                        Map.of("GW_LISTEN", "127.0.0.9:4000"), GOOD.getBytes(StandardCharsets.UTF_8))
                .assignment();
        assertEquals(4000, c.listen().getPort());
        assertEquals(8500, c.discovery().getPort());
        assertTrue(
                ControllerConfigurationReader.read(Map.of("GW_LISTEN", "here"), GOOD.getBytes(StandardCharsets.UTF_8))
                        .fault()
                        .startsWith("GW_LISTEN:"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"listen\":\"127.0.0.4:3000\"  | \"x\":1 | listen is missing",
                "127.0.0.4:3000 | 127.0.0.4:70000 | listen: '127.0.0.4:70000' is no ADDRESS:PORT",
                "127.0.0.4:3000 | example.org:80 | listen: 'example.org:80' is no ADDRESS:PORT",
                "\"sockets\":1024 | \"sockets\":\"many\" | limits.sockets: 'many' is not a whole number",
                "\"sockets\":1024 | \"sockets\":10 | limits.sockets: 10 is under 48",
                "\"settings\" | \"set\" | settings is missing",
                "\"Name\":\"order\" | \"N\":1 | settings.Classes.1.Name is missing",
                "\"Aim\":750000 | \"Aim\":\"soon\" | settings.Classes.0.Aim: 'soon' is not a number",
                "\"Aim\":750000 | \"Aim\":0 | settings.Classes.0.Aim: 0 is not over 0",
                "\"PushRate\":1200.0 | \"PushRate\":-1 | settings.Specifics.PushRate: -1 is not over 0",
                "\"MostWaiting\":1800.0 | \"MostWaiting\":-5 | settings.Specifics.MostWaiting: -5 is under 0",
                "\"ProxyCount\":6 | \"ProxyCount\":0 | settings.Specifics.ProxyCount: 0 is out of range",
                "\"Azs\":[\"a\",\"b\"] | \"Azs\":[] | settings.Azs is missing"
            })
    void aFaultNamesTheKey(String good, String bad, String fault) {
        assertTrue(GOOD.contains(good));
        assertEquals(fault, read(GOOD.replace(good, bad)).fault());
    }

    @Test
    void aFileThatIsMissingOrNoJsonIsToldInOneLine() {
        assertEquals(
                "GW_CONFIG is missing",
                ControllerConfigurationReader.read(Map.of()).fault());
        assertEquals(
                "GW_CONFIG: cannot read /nowhere/at/all",
                ControllerConfigurationReader.read(Map.of("GW_CONFIG", "/nowhere/at/all"))
                        .fault());
        assertEquals("GW_CONFIG: the file is not JSON", read("{\"name\":").fault());
        assertEquals("GW_CONFIG: the file holds no JSON object", read("[]").fault());
    }

    @Test
    void aKnownListThatCannotBeUsedStopsNoStartAndIsTold() {
        ControllerConfiguration none =
                read(GOOD.replace("\"version\":41", "\"version\":\"x\"")).assignment();
        assertEquals(null, none.known());
        assertEquals("known: field version is not a number; begins without it", none.leftOut());
        ControllerConfiguration some =
                read(GOOD.replace("\"servers\":[", "\"servers\":[{\"id\":7},")).assignment();
        assertEquals(1, some.known().entries().size());
        assertTrue(some.leftOut().startsWith("known lists 1 hosts that are left out, the first: "), some.leftOut());
        assertEquals(null, read(GOOD).assignment().leftOut());
    }

    @Test
    void withoutAKnownListNoneIsHeld() {
        assertEquals(
                null,
                read(GOOD.replace("\"known\"", "\"unknown\"")).assignment().known());
    }

    private static String scoped(String scope) {
        return GOOD.replace("\"known\"", "\"scope\":" + scope + ",\"known\"");
    }

    @Test
    void aScopeNamesServicesAndWithoutOneAllAreServed() {
        assertEquals(ServiceScope.ALL, read(GOOD).assignment().scope());
        assertEquals(ServiceScope.ALL, read(scoped("null")).assignment().scope());
        assertEquals(
                ServiceScope.of(List.of("a,b", "c")),
                read(scoped("[\"a,b\",\"c\",\"c\"]")).assignment().scope());
        ServiceScope none = read(scoped("[]")).assignment().scope();
        assertFalse(none.isAll());
        assertTrue(none.includes(null));
        assertFalse(none.includes("a"));
        assertEquals(
                List.of(),
                read(GOOD)
                        .assignment()
                        .fixedKeysThatDiffer(read(scoped("[\"a\"]")).assignment()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"svc-1\" | scope is not a list of service names",
                "{\"a\":1} | scope is not a list of service names",
                "[\"svc-1\",\"\"] | scope: item 2 is empty",
                "[\" \"] | scope: item 1 is empty",
                "[7] | scope: item 1 is not text",
                "[null] | scope: item 1 is not text",
                "[[\"svc-1\"]] | scope: item 1 is not text"
            })
    void aScopeThatIsNoneIsAFaultOfItsKey(String scope, String fault) {
        assertEquals(fault, read(scoped(scope)).fault());
    }

    @Test
    void theKnownListIsReadUnderTheScopeWhereverTheTwoStand() {
        String two = GOOD.replace(
                "\"state\":\"Ready\"}",
                "\"state\":\"Ready\",\"service\":\"svc-1\"},"
                        + "{\"id\":\"s-2\",\"zone\":\"far\",\"kind\":\"m1\",\"state\":\"Ready\",\"service\":\"svc-2\"}");
        String first = two.replaceFirst("\\{", "{\"scope\":[\"svc-1\"],");
        String last = two.substring(0, two.length() - 1) + ",\"scope\":[\"svc-1\"]}";
        for (String text : List.of(first, last)) {
            ControllerConfiguration c = read(text).assignment();
            assertEquals("s-1", c.known().entries().get(0).host());
            assertEquals(1, c.known().entries().size());
            assertEquals(c.scope(), c.known().scope());
            assertEquals(List.of("a", "b"), c.names().zones());
        }
        assertEquals(2, read(two).assignment().known().entries().size());
        ControllerConfiguration none =
                read(first.replace("[\"svc-1\"]", "[\"svc-9\"]")).assignment();
        assertEquals(null, none.known());
        assertEquals("known lists 2 hosts and scope names none of them; begins without it", none.leftOut());
    }

    @Test
    void aKnownListWithoutRoomIsAFaultOfItsOwnKind() {
        ConfigurationText.Source text = () -> new ByteArrayInputStream(GOOD.getBytes(StandardCharsets.UTF_8));
        ControllerConfiguration.Outcome none = ControllerConfigurationReader.read(Map.of(), text, true, 0);
        assertEquals("known lists over 0 hosts, which is more than fits the heap", none.fault());
        assertTrue(none.exceedsMemory());
        assertFalse(read(GOOD.replace("1024", "10")).exceedsMemory());
        assertEquals(
                1,
                ControllerConfigurationReader.read(Map.of(), text, true, 1)
                        .assignment()
                        .known()
                        .entries()
                        .size());
    }

    @Test
    void readAgainTheKnownListIsPassedOver() throws Exception {
        Path file = Files.createTempFile("configuration", ".json");
        try {
            Files.writeString(file, GOOD.replace("\"version\":41", "\"version\":\"x\""));
            Map<String, String> environment = Map.of("GW_CONFIG", file.toString());
            ControllerConfiguration again =
                    ControllerConfigurationReader.readAgain(environment).assignment();
            assertEquals(null, again.known());
            assertEquals(null, again.leftOut());
            assertEquals(
                    "known: field version is not a number; begins without it",
                    ControllerConfigurationReader.read(environment).assignment().leftOut());
            Files.writeString(file, GOOD);
            assertEquals(
                    1,
                    ControllerConfigurationReader.read(environment)
                            .assignment()
                            .known()
                            .entries()
                            .size());
            Files.writeString(file, GOOD.substring(0, GOOD.indexOf("s-1")));
            assertEquals(
                    "GW_CONFIG: the file is not JSON",
                    ControllerConfigurationReader.readAgain(environment).fault());
        } finally {
            Files.delete(file);
        }
    }
}
