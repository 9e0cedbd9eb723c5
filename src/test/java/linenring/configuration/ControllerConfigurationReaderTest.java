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
    private static final String VALID = """
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

    private static String faultOf(Executable read) {
        return assertThrows(ConfigurationException.class, read).getMessage();
    }

    @Test
    void readsNestedSettingsInMilliseconds() throws Exception {
        ControllerConfiguration configuration = read(VALID);
        assertEquals(750, configuration.plannerSettings().operations().get(0).objectiveMs());
        assertEquals(
                2, configuration.plannerSettings().operations().get(0).zones()); // bit mask with the second zone only
        assertEquals(-1, configuration.plannerSettings().operations().get(1).zones());
        assertTrue(configuration.plannerSettings().operations().get(1).homeZoneOnly());
        assertEquals(18_000, configuration.plannerSettings().coldStart().warmAfterMs());
        assertEquals(2500, configuration.plannerSettings().channel().drainGraceMs());
        assertEquals(4, configuration.names().batchIntervalMs());
        assertEquals(
                1, configuration.knownHosts().orElseThrow().entries().get(0).zone());
        assertEquals("/127.0.0.4:3000", configuration.listen().toString());
    }

    @Test
    void prefersTheDiscoveryAddressOfTheFileToTheEnvironment() throws Exception {
        Map<String, String> environment = Map.of("GW_DISCOVERY", "127.0.0.1:8600");
        assertEquals(8500, read(environment, VALID).discovery().getPort());
        String withoutDiscovery = VALID.replace("\"discovery\"", "\"was\"");
        assertEquals(8600, read(environment, withoutDiscovery).discovery().getPort());
    }

    @Test
    void namesChangedKeysThatNeedARestart() throws Exception {
        ControllerConfiguration current = read(VALID);
        assertEquals(
                List.of(),
                current.changedFixedKeys(read(VALID.replace("127.0.0.1:8500", "127.0.0.1:9")
                        .replace("\"seed\":\"8c1f\"", "\"seed\":\"9\"")
                        .replace("\"version\":41", "\"version\":50"))));
        assertEquals(
                List.of("name", "listen", "limits.sockets", "settings"),
                current.changedFixedKeys(read(VALID.replace("n3", "n4")
                        .replace(":3000", ":3001")
                        .replace("1024", "512")
                        .replace("1800.0", "900"))));
    }

    @Test
    void prefersTheEnvironmentToTheFile() throws Exception {
        ControllerConfiguration configuration = read(Map.of("GW_LISTEN", "127.0.0.9:4000"), VALID);
        assertEquals(4000, configuration.listen().getPort());
        assertEquals(8500, configuration.discovery().getPort());
        assertTrue(faultOf(() -> read(Map.of("GW_LISTEN", "here"), VALID)).startsWith("GW_LISTEN:"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"listen\":\"127.0.0.4:3000\"  | \"x\":1 | listen is missing",
                "127.0.0.4:3000 | 127.0.0.4:70000 | listen: '127.0.0.4:70000' is not a numeric ADDRESS:PORT",
                "127.0.0.4:3000 | example.org:80 | listen: 'example.org:80' is not a numeric ADDRESS:PORT",
                "\"sockets\":1024 | \"sockets\":\"many\" | limits.sockets: 'many' is not a whole number",
                "\"sockets\":1024 | \"sockets\":10 | limits.sockets: 10 is less than the minimum of 48",
                "\"settings\" | \"set\" | settings is missing",
                "\"Name\":\"order\" | \"N\":1 | settings.Classes.1.Name is missing",
                "\"Aim\":750000 | \"Aim\":\"soon\" | settings.Classes.0.Aim: 'soon' is not a number",
                "\"Aim\":750000 | \"Aim\":0 | settings.Classes.0.Aim: 0 is not greater than 0",
                "\"PushRate\":1200.0 | \"PushRate\":-1 | settings.Specifics.PushRate: -1 is not greater than 0",
                "\"MostWaiting\":1800.0 | \"MostWaiting\":-5 | settings.Specifics.MostWaiting: -5 is negative",
                "\"ProxyCount\":6 | \"ProxyCount\":0 | settings.Specifics.ProxyCount: 0 is out of range",
                "\"Azs\":[\"a\",\"b\"] | \"Azs\":[] | settings.Azs is missing"
            })
    void reportsTheInvalidKey(String validText, String invalidText, String fault) throws Exception {
        assertTrue(VALID.contains(validText));
        assertEquals(fault, faultOf(() -> read(VALID.replace(validText, invalidText))));
    }

    @Test
    void reportsAFileThatIsMissingOrNotJson() throws Exception {
        assertEquals("GW_CONFIG is missing", faultOf(() -> ControllerConfigurationReader.read(Map.of())));
        assertEquals(
                "GW_CONFIG: cannot read /nowhere/at/all",
                faultOf(() -> ControllerConfigurationReader.read(Map.of("GW_CONFIG", "/nowhere/at/all"))));
        assertEquals("GW_CONFIG: the file is not JSON", faultOf(() -> read("{\"name\":")));
        assertEquals("GW_CONFIG: the file does not contain a JSON object", faultOf(() -> read("[]")));
    }

    @Test
    void ignoresAnInvalidKnownListAndReportsTheReason() throws Exception {
        ControllerConfiguration unusableList = read(VALID.replace("\"version\":41", "\"version\":\"x\""));
        assertEquals(Optional.empty(), unusableList.knownHosts());
        assertEquals(
                Optional.of("known: field version is not a number; starting without a host list"),
                unusableList.knownHostsFault());
        ControllerConfiguration partlyUsableList = read(VALID.replace("\"servers\":[", "\"servers\":[{\"id\":7},"));
        assertEquals(1, partlyUsableList.knownHosts().orElseThrow().entries().size());
        String fault = partlyUsableList.knownHostsFault().orElseThrow();
        assertTrue(fault.startsWith("known lists 1 invalid entries, which are skipped; the first: "), fault);
        assertEquals(Optional.empty(), read(VALID).knownHostsFault());
    }

    @Test
    void readsNoKnownListIfNoneIsConfigured() throws Exception {
        assertEquals(
                Optional.empty(),
                read(VALID.replace("\"known\"", "\"unknown\"")).knownHosts());
    }

    private static String withScope(String scope) {
        return VALID.replace("\"known\"", "\"scope\":" + scope + ",\"known\"");
    }

    @Test
    void readsTheScopeAndServesAllServicesWithoutOne() throws Exception {
        assertEquals(ServiceScope.ALL, read(VALID).scope());
        assertEquals(ServiceScope.ALL, read(withScope("null")).scope());
        assertEquals(
                ServiceScope.of(List.of("a,b", "c")),
                read(withScope("[\"a,b\",\"c\",\"c\"]")).scope());
        ServiceScope emptyScope = read(withScope("[]")).scope();
        assertFalse(emptyScope.isAll());
        assertTrue(emptyScope.includes(null));
        assertFalse(emptyScope.includes("a"));
        assertEquals(List.of(), read(VALID).changedFixedKeys(read(withScope("[\"a\"]"))));
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
    void rejectsAScopeThatIsNotAListOfNames(String scope, String fault) throws Exception {
        assertEquals(fault, faultOf(() -> read(withScope(scope))));
    }

    @Test
    void appliesTheScopeToTheKnownListInEitherOrder() throws Exception {
        String twoHosts = VALID.replace(
                "\"state\":\"Ready\"}",
                "\"state\":\"Ready\",\"service\":\"svc-1\"},"
                        + "{\"id\":\"s-2\",\"zone\":\"far\",\"kind\":\"m1\",\"state\":\"Ready\",\"service\":\"svc-2\"}");
        String scopeBeforeHosts = twoHosts.replaceFirst("\\{", "{\"scope\":[\"svc-1\"],");
        String scopeAfterHosts = twoHosts.substring(0, twoHosts.length() - 1) + ",\"scope\":[\"svc-1\"]}";
        for (String text : List.of(scopeBeforeHosts, scopeAfterHosts)) {
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
        assertEquals(2, read(twoHosts).knownHosts().orElseThrow().entries().size());
        ControllerConfiguration noHostInScope = read(scopeBeforeHosts.replace("[\"svc-1\"]", "[\"svc-9\"]"));
        assertEquals(Optional.empty(), noHostInScope.knownHosts());
        assertEquals(
                Optional.of("known lists 2 hosts but scope includes none of them; starting without a host list"),
                noHostInScope.knownHostsFault());
    }

    @Test
    void rejectsAKnownListThatDoesNotFitTheMemory() throws Exception {
        ConfigurationText.Source text = () -> new ByteArrayInputStream(VALID.getBytes(StandardCharsets.UTF_8));
        ConfigurationException tooManyHosts = assertThrows(
                ConfigurationException.class, () -> ControllerConfigurationReader.read(Map.of(), text, true, 0));
        assertEquals("known lists over 0 hosts, which is more than fits the heap", tooManyHosts.getMessage());
        assertEquals(ConfigurationException.Kind.EXCEEDS_MEMORY, tooManyHosts.kind());
        ConfigurationException invalidLimit =
                assertThrows(ConfigurationException.class, () -> read(VALID.replace("1024", "10")));
        assertEquals(ConfigurationException.Kind.INVALID, invalidLimit.kind());
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
            Files.writeString(file, VALID.replace("\"version\":41", "\"version\":\"x\""));
            Map<String, String> environment = Map.of("GW_CONFIG", file.toString());
            ControllerConfiguration reloaded = ControllerConfigurationReader.readForReload(environment);
            assertEquals(Optional.empty(), reloaded.knownHosts());
            assertEquals(Optional.empty(), reloaded.knownHostsFault());
            assertEquals(
                    Optional.of("known: field version is not a number; starting without a host list"),
                    ControllerConfigurationReader.read(environment).knownHostsFault());
            Files.writeString(file, VALID);
            assertEquals(
                    1,
                    ControllerConfigurationReader.read(environment)
                            .knownHosts()
                            .orElseThrow()
                            .entries()
                            .size());
            Files.writeString(file, VALID.substring(0, VALID.indexOf("s-1")));
            assertEquals(
                    "GW_CONFIG: the file is not JSON",
                    faultOf(() -> ControllerConfigurationReader.readForReload(environment)));
        } finally {
            Files.delete(file);
        }
    }
}
