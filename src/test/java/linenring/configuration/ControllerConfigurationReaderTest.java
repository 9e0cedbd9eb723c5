package linenring.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
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

    private static ControllerConfiguration read(String text) throws ConfigurationException {
        return read(Map.of(), text);
    }

    private static ControllerConfiguration read(Map<String, String> environment, String text)
            throws ConfigurationException {
        return ControllerConfigurationReader.read(environment, text.getBytes(StandardCharsets.UTF_8));
    }

    private static String fault(Executable reads) {
        return assertThrows(ConfigurationException.class, reads).getMessage();
    }

    @Test
    void readsNestedSettingsInMilliseconds() throws Exception {
        ControllerConfiguration configuration = read(GOOD);
        assertEquals(750, configuration.plannerSettings().operations().get(0).objectiveMs());
        assertEquals(2, configuration.plannerSettings().operations().get(0).zones()); // the second zone alone
        assertEquals(-1, configuration.plannerSettings().operations().get(1).zones());
        assertTrue(configuration.plannerSettings().operations().get(1).homeZoneOnly());
        assertEquals(18_000, configuration.plannerSettings().coldStart().warmAfterMs());
        assertEquals(2500, configuration.plannerSettings().channel().drainGraceMs());
        assertEquals(4, configuration.names().quantumMs());
        assertEquals(
                1, configuration.knownHosts().orElseThrow().entries().get(0).zone());
        assertEquals("/127.0.0.4:3000", configuration.listen().toString());
    }

    @Test
    void prefersDiscoveryOfTheFileToThatOfTheEnvironment() throws Exception {
        Map<String, String> stale = Map.of("GW_DISCOVERY", "127.0.0.1:8600");
        assertEquals(8500, read(stale, GOOD).discovery().getPort());
        String none = GOOD.replace("\"discovery\"", "\"was\"");
        assertEquals(8600, read(stale, none).discovery().getPort());
    }

    @Test
    void namesKeysThatCannotChangeWhileItRuns() throws Exception {
        ControllerConfiguration held = read(GOOD);
        assertEquals(
                List.of(),
                held.fixedKeysThatDiffer(read(GOOD.replace("127.0.0.1:8500", "127.0.0.1:9")
                        .replace("\"seed\":\"8c1f\"", "\"seed\":\"9\"")
                        .replace("\"version\":41", "\"version\":50"))));
        assertEquals(
                List.of("name", "listen", "limits.sockets", "settings"),
                held.fixedKeysThatDiffer(read(GOOD.replace("n3", "n4")
                        .replace(":3000", ":3001")
                        .replace("1024", "512")
                        .replace("1800.0", "900"))));
    }

    @Test
    void prefersTheEnvironmentToTheFile() throws Exception {
        ControllerConfiguration configuration = read(Map.of("GW_LISTEN", "127.0.0.9:4000"), GOOD);
        assertEquals(4000, configuration.listen().getPort());
        assertEquals(8500, configuration.discovery().getPort());
        assertTrue(fault(() -> read(Map.of("GW_LISTEN", "here"), GOOD)).startsWith("GW_LISTEN:"));
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
    void namesTheKeyAtFault(String good, String bad, String fault) throws Exception {
        assertTrue(GOOD.contains(good));
        assertEquals(fault, fault(() -> read(GOOD.replace(good, bad))));
    }

    @Test
    void reportsAFileThatIsMissingOrNotJson() throws Exception {
        assertEquals("GW_CONFIG is missing", fault(() -> ControllerConfigurationReader.read(Map.of())));
        assertEquals(
                "GW_CONFIG: cannot read /nowhere/at/all",
                fault(() -> ControllerConfigurationReader.read(Map.of("GW_CONFIG", "/nowhere/at/all"))));
        assertEquals("GW_CONFIG: the file is not JSON", fault(() -> read("{\"name\":")));
        assertEquals("GW_CONFIG: the file holds no JSON object", fault(() -> read("[]")));
    }

    @Test
    void startsWithoutAKnownListThatCannotBeUsedAndSaysWhy() throws Exception {
        ControllerConfiguration none = read(GOOD.replace("\"version\":41", "\"version\":\"x\""));
        assertEquals(Optional.empty(), none.knownHosts());
        assertEquals(Optional.of("known: field version is not a number; begins without it"), none.knownHostsFault());
        ControllerConfiguration some = read(GOOD.replace("\"servers\":[", "\"servers\":[{\"id\":7},"));
        assertEquals(1, some.knownHosts().orElseThrow().entries().size());
        String fault = some.knownHostsFault().orElseThrow();
        assertTrue(fault.startsWith("known lists 1 invalid entries, which are skipped; the first: "), fault);
        assertEquals(Optional.empty(), read(GOOD).knownHostsFault());
    }

    @Test
    void startsWithoutAKnownListWhereThereIsNone() throws Exception {
        assertEquals(
                Optional.empty(), read(GOOD.replace("\"known\"", "\"unknown\"")).knownHosts());
    }

    private static String scoped(String scope) {
        return GOOD.replace("\"known\"", "\"scope\":" + scope + ",\"known\"");
    }

    @Test
    void readsTheScopeAndServesAllServicesWithoutOne() throws Exception {
        assertEquals(ServiceScope.ALL, read(GOOD).scope());
        assertEquals(ServiceScope.ALL, read(scoped("null")).scope());
        assertEquals(
                ServiceScope.of(List.of("a,b", "c")),
                read(scoped("[\"a,b\",\"c\",\"c\"]")).scope());
        ServiceScope none = read(scoped("[]")).scope();
        assertFalse(none.isAll());
        assertTrue(none.includes(null));
        assertFalse(none.includes("a"));
        assertEquals(List.of(), read(GOOD).fixedKeysThatDiffer(read(scoped("[\"a\"]"))));
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
    void refusesAScopeThatIsNotAListOfNames(String scope, String fault) throws Exception {
        assertEquals(fault, fault(() -> read(scoped(scope))));
    }

    @Test
    void readsTheKnownListUnderTheScopeInEitherOrder() throws Exception {
        String two = GOOD.replace(
                "\"state\":\"Ready\"}",
                "\"state\":\"Ready\",\"service\":\"svc-1\"},"
                        + "{\"id\":\"s-2\",\"zone\":\"far\",\"kind\":\"m1\",\"state\":\"Ready\",\"service\":\"svc-2\"}");
        String first = two.replaceFirst("\\{", "{\"scope\":[\"svc-1\"],");
        String last = two.substring(0, two.length() - 1) + ",\"scope\":[\"svc-1\"]}";
        for (String text : List.of(first, last)) {
            ControllerConfiguration configuration = read(text);
            assertEquals(
                    "s-1",
                    configuration.knownHosts().orElseThrow().entries().get(0).host());
            assertEquals(1, configuration.knownHosts().orElseThrow().entries().size());
            assertEquals(
                    configuration.scope(),
                    configuration.knownHosts().orElseThrow().scope());
            assertEquals(List.of("a", "b"), configuration.names().zones());
        }
        assertEquals(2, read(two).knownHosts().orElseThrow().entries().size());
        ControllerConfiguration none = read(first.replace("[\"svc-1\"]", "[\"svc-9\"]"));
        assertEquals(Optional.empty(), none.knownHosts());
        assertEquals(
                Optional.of("known lists 2 hosts and scope names none of them; begins without it"),
                none.knownHostsFault());
    }

    @Test
    void refusesAKnownListThatDoesNotFitTheMemory() throws Exception {
        ConfigurationText.Source text = () -> new ByteArrayInputStream(GOOD.getBytes(StandardCharsets.UTF_8));
        ConfigurationException none = assertThrows(
                ConfigurationException.class, () -> ControllerConfigurationReader.read(Map.of(), text, true, 0));
        assertEquals("known lists over 0 hosts, which is more than fits the heap", none.getMessage());
        assertEquals(ConfigurationException.Kind.EXCEEDS_MEMORY, none.kind());
        ConfigurationException other =
                assertThrows(ConfigurationException.class, () -> read(GOOD.replace("1024", "10")));
        assertEquals(ConfigurationException.Kind.INVALID, other.kind());
        assertEquals(
                1,
                ControllerConfigurationReader.read(Map.of(), text, true, 1)
                        .knownHosts()
                        .orElseThrow()
                        .entries()
                        .size());
    }

    @Test
    void ignoresTheKnownListAtAReload() throws Exception {
        Path file = Files.createTempFile("configuration", ".json");
        try {
            Files.writeString(file, GOOD.replace("\"version\":41", "\"version\":\"x\""));
            Map<String, String> environment = Map.of("GW_CONFIG", file.toString());
            ControllerConfiguration again = ControllerConfigurationReader.readAgain(environment);
            assertEquals(Optional.empty(), again.knownHosts());
            assertEquals(Optional.empty(), again.knownHostsFault());
            assertEquals(
                    Optional.of("known: field version is not a number; begins without it"),
                    ControllerConfigurationReader.read(environment).knownHostsFault());
            Files.writeString(file, GOOD);
            assertEquals(
                    1,
                    ControllerConfigurationReader.read(environment)
                            .knownHosts()
                            .orElseThrow()
                            .entries()
                            .size());
            Files.writeString(file, GOOD.substring(0, GOOD.indexOf("s-1")));
            assertEquals(
                    "GW_CONFIG: the file is not JSON",
                    fault(() -> ControllerConfigurationReader.readAgain(environment)));
        } finally {
            Files.delete(file);
        }
    }
}
