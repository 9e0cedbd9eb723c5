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
 * Reads the settings of a scale run: KDL, then the schema, then what a schema can't say. Each fault is one line that
 * names the file, the line, the key and what was expected.
 */
public final class ScalePlanReader {
    /** A plan, or the faults; one of the two is null or empty. */
    public record Outcome(ScalePlan plan, List<String> faults) {}

    private static final Set<String> LISTS = Set.of("sweep", "scenario");
    private static final double MILLIS_PER_SECOND = 1000;

    private final SettingsDocument document;

    private ScalePlanReader(SettingsDocument document) {
        this.document = document;
    }

    public static Outcome read(Path file) {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return new Outcome(null, List.of(file + ": cannot be read"));
        }
    }

    static Outcome read(String file, String text) {
        SettingsDocument document =
                new SettingsSchema(ScalePlanReader.class, "scale.schema.json", LISTS).read(file, text);
        if (!document.isSound()) {
            return new Outcome(null, document.faults());
        }
        ScalePlan plan = new ScalePlanReader(document).plan(document.root().get("scale"));
        return new Outcome(document.isSound() ? plan : null, document.faults());
    }

    private ScalePlan plan(JsonNode in) {
        ScalePlan plan = new ScalePlan(
                in.get("seed").asLong(),
                seconds(in.get("warm-up")),
                seconds(in.get("window")),
                bounds(in.get("bounds")),
                sweeps(in),
                scenarios(in),
                scenarioWorkload(in));
        checkTime(plan, in.get("bounds"));
        return plan;
    }

    private static double seconds(JsonNode duration) {
        return Units.millis(duration.asText()) / MILLIS_PER_SECOND;
    }

    private static ScalePlan.Bounds bounds(JsonNode in) {
        return new ScalePlan.Bounds(
                Units.bytes(in.get("memory").asText()), in.get("processes").asInt(), seconds(in.get("time")));
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

    private List<Sweep> sweeps(JsonNode in) {
        List<Sweep> sweeps = new ArrayList<>();
        for (JsonNode sweep : in.path("sweep")) {
            sweeps.add(sweep(sweep, in.get("workload"), "/scale/sweep/" + sweeps.size()));
        }
        return sweeps;
    }

    private Sweep sweep(JsonNode in, JsonNode common, String at) {
        Variable variable = variable(in.get("arguments").get(0).asText());
        List<Double> sizes = new ArrayList<>();
        in.get("sizes").get("arguments").forEach(size -> sizes.add(size.asDouble()));
        checkSizes(variable, sizes, at + "/sizes");
        String key = "scale.sweep \"" + name(variable) + "\".workload";
        return new Sweep(variable, sizes, workload(common, in.path("workload"), key, at + "/workload"));
    }

    private void checkSizes(Variable variable, List<Double> sizes, String at) {
        String key = "scale.sweep \"" + name(variable) + "\".sizes: ";
        for (int i = 0; i < sizes.size(); i++) {
            double size = sizes.get(i);
            if (!variable.isRate() && size != Math.rint(size)) {
                document.fault(at, key + size + " is not a whole number");
            }
            if (i > 0 && size <= sizes.get(i - 1)) {
                document.fault(at, key + shown(size) + " is not over " + shown(sizes.get(i - 1)) + " before it");
            }
        }
    }

    // ---- workloads

    private Workload scenarioWorkload(JsonNode in) {
        JsonNode own = in.path("scenario-workload");
        return workload(in.get("workload"), own, "scale.scenario-workload", "/scale/scenario-workload");
    }

    /** The common workload but for what {@code own} says otherwise; a scope that neither names is the whole catalogue. */
    private Workload workload(JsonNode common, JsonNode own, String key, String at) {
        Map<Variable, Double> sizes = new EnumMap<>(Variable.class);
        for (Variable variable : Variable.values()) {
            JsonNode size = own.has(name(variable)) ? own.get(name(variable)) : common.get(name(variable));
            sizes.put(variable, size == null ? sizes.get(Variable.CATALOGUE_HOSTS) : size.asDouble());
        }
        double hosts = sizes.get(Variable.CATALOGUE_HOSTS);
        double scope = sizes.get(Variable.HOSTS_IN_SCOPE);
        if (scope > hosts) {
            document.fault(
                    at, key + ": hosts-in-scope of " + shown(scope) + " is over catalogue-hosts of " + shown(hosts));
        }
        return Workload.of(sizes);
    }

    // ---- names

    private List<Scenario> scenarios(JsonNode in) {
        List<Scenario> scenarios = new ArrayList<>();
        for (JsonNode scenario : in.path("scenario")) {
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
