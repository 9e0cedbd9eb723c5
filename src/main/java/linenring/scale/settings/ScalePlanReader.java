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
 * Reads the settings of a scale run: KDL, then the schema, then what a schema can't express. Each error is one line that
 * names the file, the line, the key and what was expected.
 */
public final class ScalePlanReader {
    /** A plan, or null and the errors. */
    public record Outcome(ScalePlan plan, List<String> faults) {}

    private static final Set<String> LIST_NAMES = Set.of("sweep", "scenario");
    private static final double SECOND_MS = 1000;

    private final SettingsDocument document;

    private ScalePlanReader(SettingsDocument document) {
        this.document = document;
    }

    /** Reads a file; an unreadable file is an error in the outcome. */
    public static Outcome read(Path file) {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException unreadable) {
            return new Outcome(null, List.of(file + ": cannot be read"));
        }
    }

    static Outcome read(String file, String text) {
        SettingsDocument document =
                new SettingsSchema(ScalePlanReader.class, "scale.schema.json", LIST_NAMES).read(file, text);
        if (!document.isSound()) {
            return new Outcome(null, document.faults());
        }
        ScalePlan plan = new ScalePlanReader(document).plan(document.root().get("scale"));
        return new Outcome(document.isSound() ? plan : null, document.faults());
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
        return Units.millis(duration.asText()) / SECOND_MS;
    }

    private static ScalePlan.Bounds bounds(JsonNode bounds) {
        return new ScalePlan.Bounds(
                Units.bytes(bounds.get("memory").asText()),
                bounds.get("processes").asInt(),
                seconds(bounds.get("time")));
    }

    private void checkTime(ScalePlan plan, JsonNode bounds) {
        if (plan.sweepSeconds() > plan.bounds().seconds()) {
            document.fault(
                    "/scale/bounds/time",
                    "scale.bounds.time: " + bounds.get("time") + " is under the " + Math.round(plan.sweepSeconds())
                            + " s that the sweeps' points take");
        }
    }

    // ---- sweeps

    private List<Sweep> sweeps(JsonNode scale) {
        List<Sweep> sweeps = new ArrayList<>();
        for (JsonNode sweep : scale.path("sweep")) {
            sweeps.add(sweep(sweep, scale.get("workload"), "/scale/sweep/" + sweeps.size()));
        }
        return sweeps;
    }

    private Sweep sweep(JsonNode sweep, JsonNode common, String pointer) {
        Variable variable = variable(sweep.get("arguments").get(0).asText());
        List<Double> sizes = new ArrayList<>();
        sweep.get("sizes").get("arguments").forEach(size -> sizes.add(size.asDouble()));
        checkSizes(variable, sizes, pointer + "/sizes");
        String key = "scale.sweep \"" + name(variable) + "\".workload";
        return new Sweep(variable, sizes, workload(common, sweep.path("workload"), key, pointer + "/workload"));
    }

    private void checkSizes(Variable variable, List<Double> sizes, String pointer) {
        String key = "scale.sweep \"" + name(variable) + "\".sizes: ";
        for (int i = 0; i < sizes.size(); i++) {
            double size = sizes.get(i);
            if (!variable.isRate() && size != Math.rint(size)) {
                document.fault(pointer, key + size + " is not a whole number");
            }
            if (i > 0 && size <= sizes.get(i - 1)) {
                document.fault(pointer, key + shown(size) + " is not over " + shown(sizes.get(i - 1)) + " before it");
            }
        }
    }

    // ---- workloads

    private Workload scenarioWorkload(JsonNode scale) {
        JsonNode own = scale.path("scenario-workload");
        return workload(scale.get("workload"), own, "scale.scenario-workload", "/scale/scenario-workload");
    }

    /** The common workload with the values of {@code own} in place of its own; a scope that neither names is the whole catalogue. */
    private Workload workload(JsonNode common, JsonNode own, String key, String pointer) {
        Map<Variable, Double> sizes = new EnumMap<>(Variable.class);
        for (Variable variable : Variable.values()) {
            JsonNode size = own.has(name(variable)) ? own.get(name(variable)) : common.get(name(variable));
            sizes.put(variable, size == null ? sizes.get(Variable.CATALOGUE_HOSTS) : size.asDouble());
        }
        double hosts = sizes.get(Variable.CATALOGUE_HOSTS);
        double scope = sizes.get(Variable.HOSTS_IN_SCOPE);
        if (scope > hosts) {
            document.fault(
                    pointer,
                    key + ": hosts-in-scope of " + shown(scope) + " is over catalogue-hosts of " + shown(hosts));
        }
        return Workload.of(sizes);
    }

    // ---- names

    private List<Scenario> scenarios(JsonNode scale) {
        List<Scenario> scenarios = new ArrayList<>();
        for (JsonNode scenario : scale.path("scenario")) {
            String name = scenario.get("arguments").get(0).asText();
            scenarios.add(Scenario.valueOf(constant(name)));
        }
        return scenarios;
    }

    private static Variable variable(String name) {
        return Variable.valueOf(constant(name));
    }

    private static String name(Variable variable) {
        return variable.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String constant(String name) {
        return name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static String shown(double size) {
        return size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size);
    }
}
