package linenring.scale.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import linenring.kdl.SettingsDocument;
import linenring.kdl.SettingsSchema;
import linenring.kdl.Units;
import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.Sweep;
import linenring.scale.measurement.Variable;
import linenring.scale.measurement.Workload;

/**
 * Reads the settings of a scale run: parses KDL, validates the schema, then checks the constraints that a schema can't express.
 * Each error is one line that names the file, the line, the key and the expected value.
 */
public final class ScalePlanReader {
    /** The result of reading settings: a plan, or null and the errors. */
    public record Outcome(ScalePlan plan, List<String> faults) {}

    private static final Set<String> REPEATED_KEYS = Set.of("sweep", "scenario");
    private static final double SECOND_MS = 1000;

    private final SettingsDocument document;

    private ScalePlanReader(SettingsDocument document) {
        this.document = document;
    }

    /** Reads a settings file; a file that cannot be read is an error in the outcome. */
    public static Outcome read(Path file) {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException unreadable) {
            return new Outcome(null, List.of(file + ": cannot be read"));
        }
    }

    static Outcome read(String file, String text) {
        SettingsDocument document =
                new SettingsSchema(ScalePlanReader.class, "scale.schema.json", REPEATED_KEYS).read(file, text);
        if (!document.isValid()) {
            return new Outcome(null, document.errors());
        }
        ScalePlan plan = new ScalePlanReader(document).plan(document.root().get("scale"));
        return new Outcome(document.isValid() ? plan : null, document.errors());
    }

    private ScalePlan plan(JsonNode scale) {
        ScalePlan plan = new ScalePlan(
                scale.get("seed").asLong(),
                seconds(scale.get("warm-up")),
                seconds(scale.get("window")),
                bounds(scale.get("bounds")),
                sweeps(scale),
                scenarios(scale),
                scenarioWorkload(scale));
        checkTime(plan, scale.get("bounds"));
        return plan;
    }

    private static double seconds(JsonNode duration) {
        return Units.parseDurationMs(duration.asText()) / SECOND_MS;
    }

    private static ScalePlan.Bounds bounds(JsonNode bounds) {
        return new ScalePlan.Bounds(
                Units.parseSizeBytes(bounds.get("memory").asText()),
                bounds.get("processes").asInt(),
                seconds(bounds.get("time")));
    }

    private void checkTime(ScalePlan plan, JsonNode bounds) {
        if (plan.sweepSeconds() > plan.bounds().seconds()) {
            document.addError(
                    "/scale/bounds/time",
                    "scale.bounds.time: " + bounds.get("time") + " is less than the " + Math.round(plan.sweepSeconds())
                            + " s that warm-up and window of all points take");
        }
    }

    private List<Sweep> sweeps(JsonNode scale) {
        List<Sweep> sweeps = new ArrayList<>();
        for (JsonNode sweep : scale.path("sweep")) {
            sweeps.add(sweep(sweep, scale.get("workload"), "/scale/sweep/" + sweeps.size()));
        }
        return sweeps;
    }

    private Sweep sweep(JsonNode sweep, JsonNode commonWorkload, String pointer) {
        Variable variable = variable(sweep.get("arguments").get(0).asText());
        List<Double> sizes = new ArrayList<>();
        sweep.get("sizes").get("arguments").forEach(size -> sizes.add(size.asDouble()));
        checkSizes(variable, sizes, pointer + "/sizes");
        String key = "scale.sweep \"" + settingsName(variable) + "\".workload";
        return new Sweep(variable, sizes, workload(commonWorkload, sweep.path("workload"), key, pointer + "/workload"));
    }

    private void checkSizes(Variable variable, List<Double> sizes, String pointer) {
        String key = "scale.sweep \"" + settingsName(variable) + "\".sizes: ";
        for (int i = 0; i < sizes.size(); i++) {
            double size = sizes.get(i);
            if (!variable.isRate() && size != Math.rint(size)) {
                document.addError(pointer, key + size + " is not a whole number");
            }
            if (i > 0 && size <= sizes.get(i - 1)) {
                document.addError(
                        pointer,
                        key + formatSize(size) + " is not greater than the preceding size "
                                + formatSize(sizes.get(i - 1)));
            }
        }
    }

    private Workload scenarioWorkload(JsonNode scale) {
        JsonNode overrides = scale.path("scenario-workload");
        return workload(scale.get("workload"), overrides, "scale.scenario-workload", "/scale/scenario-workload");
    }

    /**
     * Merges {@code overrides} into the common workload. Without hosts-in-scope in either of them, all hosts of the
     * catalogue are in scope.
     */
    private Workload workload(JsonNode commonWorkload, JsonNode overrides, String key, String pointer) {
        Map<Variable, Double> sizes = new EnumMap<>(Variable.class);
        for (Variable variable : Variable.values()) {
            JsonNode size = overrides.has(settingsName(variable))
                    ? overrides.get(settingsName(variable))
                    : commonWorkload.get(settingsName(variable));
            sizes.put(variable, size == null ? sizes.get(Variable.CATALOGUE_HOSTS) : size.asDouble());
        }
        double hosts = sizes.get(Variable.CATALOGUE_HOSTS);
        double scope = sizes.get(Variable.HOSTS_IN_SCOPE);
        if (scope > hosts) {
            document.addError(
                    pointer,
                    key + ": hosts-in-scope of " + formatSize(scope) + " exceeds catalogue-hosts of "
                            + formatSize(hosts));
        }
        return Workload.ofSizes(sizes);
    }

    private List<Scenario> scenarios(JsonNode scale) {
        List<Scenario> scenarios = new ArrayList<>();
        for (JsonNode scenario : scale.path("scenario")) {
            String name = scenario.get("arguments").get(0).asText();
            scenarios.add(Scenario.valueOf(constantName(name)));
        }
        return scenarios;
    }

    private static Variable variable(String name) {
        return Variable.valueOf(constantName(name));
    }

    private static String settingsName(Variable variable) {
        return variable.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String constantName(String name) {
        return name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static String formatSize(double size) {
        return size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size);
    }
}
