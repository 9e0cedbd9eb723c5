package linenring.scale.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.Sweep;
import linenring.scale.measurement.Variable;
import linenring.scale.measurement.Workload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class ScalePlanReaderTest {
    private static final String VALID = """
            // line 1
            scale {
                seed 7
                warm-up "2s"
                window "1.5s"
                bounds memory="2GiB" processes=20 time="5min"
                workload catalogue-hosts=256 proxies=8 services=4 zones=3 stewards=2 changes-per-second=0.5 reports-per-second=20 restarts-per-second=0
                sweep "catalogue-hosts" {
                    sizes 256 1024 4096
                    workload proxies=0
                }
                sweep "changes-per-second" {
                    sizes 0 0.5 5
                    workload catalogue-hosts=1024 hosts-in-scope=64
                }
                scenario "zone-lost-and-back"
                scenario-workload catalogue-hosts=512
            }
            """;

    @Test
    void mergesSweepsWithTheCommonWorkload() {
        ScalePlan plan = ScalePlanReader.read("s.kdl", VALID).plan();
        assertEquals(
                new ScalePlan(
                        7,
                        2,
                        1.5,
                        new ScalePlan.Bounds(2L << 30, 20, 300),
                        List.of(
                                new Sweep(
                                        Variable.CATALOGUE_HOSTS,
                                        List.of(256.0, 1024.0, 4096.0),
                                        new Workload(256, 256, 0, 4, 3, 2, 0.5, 20, 0)),
                                new Sweep(
                                        Variable.CHANGES_PER_SECOND,
                                        List.of(0.0, 0.5, 5.0),
                                        new Workload(1024, 64, 8, 4, 3, 2, 0.5, 20, 0))),
                        List.of(Scenario.ZONE_LOST_AND_BACK),
                        new Workload(512, 512, 8, 4, 3, 2, 0.5, 20, 0)),
                plan);
    }

    /** Replaces one line of the valid settings and expects exactly one error message. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "3 | seed -1 | 3: scale.seed: -1 is not a whole number from 0",
                "3 | | 2: scale: seed is missing",
                "4 | warm-up 2 | 4: scale.warm-up: 2 is not a duration with its unit, such as \"20s\" or \"1.5min\"",
                "4 | warmup \"2s\"; warm-up \"2s\" | 4: scale: warmup is not a known key here",
                "6 | bounds memory=\"2GB\" processes=20 time=\"5min\" | 6: scale.bounds.memory: \"2GB\" is not a size with its unit, such as \"8GiB\"",
                "6 | bounds memory=\"2GiB\" processes=20 time=\"20s\" | 6: scale.bounds.time: \"20s\" is less than the 21 s that warm-up and window of all points take",
                "7 | workload catalogue-hosts=256 proxies=8 zones=3 stewards=2 changes-per-second=0 reports-per-second=0 restarts-per-second=0 | 7: scale.workload: services is missing",
                "8 | sweep \"hosts\" { | 8: scale.sweep: \"hosts\" is not one of \"catalogue-hosts\", \"hosts-in-scope\", \"proxies\", \"services\", \"zones\", \"stewards\", \"changes-per-second\", \"reports-per-second\", \"restarts-per-second\"",
                "9 | sizes 256 | 9: scale.sweep.sizes: 256 is not two sizes or more, such as: sizes 256 1024 4096",
                "9 | sizes 256 1024 1024 | 9: scale.sweep \"catalogue-hosts\".sizes: 1024 is not greater than the preceding size 1024",
                "9 | sizes 256 1024.5 | 9: scale.sweep \"catalogue-hosts\".sizes: 1024.5 is not a whole number",
                "10 | workload proxies=-1 | 10: scale.sweep.workload.proxies: -1 is not a whole number from 0",
                "14 | workload hosts-in-scope=512 | 14: scale.sweep \"changes-per-second\".workload: hosts-in-scope of 512 exceeds catalogue-hosts of 256",
                "16 | scenario \"zone-lost\" | 16: scale.scenario: \"zone-lost\" is not one of \"idle\", \"churn\", \"rolling-restart\", \"rack-lost\", \"zone-lost-and-back\", \"silence-caught-up\", \"spoilt-list\", \"partial-list\", \"proxies-restarted\", \"stewards-restarted\"",
                "17 | scenario-workload hosts-in-scope=257 | 17: scale.scenario-workload: hosts-in-scope of 257 exceeds catalogue-hosts of 256",
                "18 | | 19: expected a '}' before the end of the file",
            })
    void reportsFileLineKeyAndExpectedValueOfAnError(int line, String replacement, String message) {
        List<String> lines = new ArrayList<>(VALID.lines().toList());
        lines.set(line - 1, replacement == null ? "" : replacement);
        ScalePlanReader.Outcome read = ScalePlanReader.read("s.kdl", String.join("\n", lines) + "\n");
        assertNull(read.plan());
        assertEquals("s.kdl:" + message, read.faults().stream().collect(Collectors.joining("; ")));
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void readsEachScenarioByItsName(Scenario scenario) {
        String name = scenario.name().toLowerCase(Locale.ROOT).replace('_', '-');
        ScalePlanReader.Outcome read =
                ScalePlanReader.read("s.kdl", VALID.replace("\"zone-lost-and-back\"", "\"" + name + "\""));
        assertEquals(List.of(), read.faults());
        assertEquals(List.of(scenario), read.plan().scenarios());
    }

    @Test
    void reportsAMissingFileInOneLine() {
        assertEquals(
                List.of("/no/such.kdl: cannot be read"),
                ScalePlanReader.read(Path.of("/no/such.kdl")).faults());
    }

    @ParameterizedTest
    @MethodSource("bundledPlans")
    void acceptsTheBundledPlans(Path file) {
        assertEquals(List.of(), ScalePlanReader.read(file).faults());
    }

    static List<Path> bundledPlans() throws IOException {
        try (Stream<Path> plans = Files.list(Path.of("docs/capacity/plans"))) {
            return Stream.concat(plans, Stream.of(Path.of("example/scale.kdl")))
                    .sorted()
                    .toList();
        }
    }
}
