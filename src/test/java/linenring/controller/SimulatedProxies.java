package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;

/** The fleet that a reply on the simulator's wire configures, as its page defines the commands. */
final class SimulatedProxies {
    private final Map<String, TreeMap<String, Double>> tables = new HashMap<>();
    private final Map<String, TreeMap<String, AdmissionPolicy>> policies = new HashMap<>();
    private final Map<Integer, String> tableByProxy = new TreeMap<>();
    private final TreeSet<String> ejected = new TreeSet<>();

    private static String field(String line, String name) {
        for (String pair : line.split(" ", -1)) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Carries out one line of a reply; others than commands change nothing. */
    void apply(String line) {
        String table = field(line, "Sheet");
        if (line.startsWith("set_line")) {
            setWeight(table, field(line, "Host"), Double.parseDouble(field(line, "Heft")));
        } else if (line.startsWith("cordon")) {
            setEjected(field(line, "Host"), field(line, "Flag").equals("1"));
        } else if (line.startsWith("subscribe_to")) {
            assertEquals("0", field(line, "Mask"));
            tableByProxy.put(Integer.parseInt(field(line, "Sidecar")), table);
        } else if (line.startsWith("level")) {
            setPolicy(line, table);
        }
    }

    private void setWeight(String table, String host, double weight) {
        TreeMap<String, Double> weights = tables.computeIfAbsent(table, ignored -> new TreeMap<>());
        weights.put(host, weight);
        weights.values().removeIf(each -> each == 0);
    }

    private void setEjected(String host, boolean isEjected) {
        if (isEjected) {
            ejected.add(host);
        } else {
            ejected.remove(host);
        }
    }

    private void setPolicy(String line, String table) {
        String operation = field(line, "Mask").equals("1") ? "lookup" : "order";
        AdmissionPolicy policy = new AdmissionPolicy(
                Double.parseDouble(field(line, "Level")), Integer.parseInt(field(line, "OnFailure")));
        policies.computeIfAbsent(table, ignored -> new TreeMap<>()).put(operation, policy);
    }

    /** What {@link AppliedConfiguration#summary()} says of the same configuration. */
    String summary(int proxy) {
        String table = tableByProxy.get(proxy);
        TreeMap<String, TreeMap<String, Double>> byOperation = new TreeMap<>();
        TreeMap<String, AdmissionPolicy> policyByOperation = new TreeMap<>();
        if (table != null) {
            byOperation.put("lookup", tables.get(table));
            byOperation.put("order", tables.get(table));
            policyByOperation.putAll(policies.getOrDefault(table, new TreeMap<>()));
        }
        return AppliedConfiguration.summary(byOperation, policyByOperation, ejected);
    }

    boolean hasReducedAdmission() {
        return policies.toString().contains("admissionRatio=0.");
    }
}
