package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;

/** The proxies as configured by the commands in replies to the simulator. */
final class SimulatedProxies {
    private final Map<String, TreeMap<String, Double>> tables = new HashMap<>();
    private final Map<String, TreeMap<String, AdmissionPolicy>> policies = new HashMap<>();
    private final Map<Integer, String> tableByProxy = new TreeMap<>();
    private final TreeSet<String> ejected = new TreeSet<>();

    private static String fieldValue(String line, String name) {
        for (String pair : line.split(" ", -1)) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Applies one line of a reply; a line that is not a command has no effect. */
    void apply(String line) {
        String table = fieldValue(line, "Sheet");
        if (line.startsWith("set_line")) {
            setWeight(table, fieldValue(line, "Host"), Double.parseDouble(fieldValue(line, "Heft")));
        } else if (line.startsWith("cordon")) {
            setEjected(fieldValue(line, "Host"), fieldValue(line, "Flag").equals("1"));
        } else if (line.startsWith("subscribe_to")) {
            assertEquals("0", fieldValue(line, "Mask"));
            tableByProxy.put(Integer.parseInt(fieldValue(line, "Sidecar")), table);
        } else if (line.startsWith("level")) {
            setPolicy(line, table);
        }
    }

    private void setWeight(String table, String host, double weight) {
        TreeMap<String, Double> weights = tables.computeIfAbsent(table, ignored -> new TreeMap<>());
        weights.put(host, weight);
        weights.values().removeIf(existingWeight -> existingWeight == 0);
    }

    private void setEjected(String host, boolean isEjected) {
        if (isEjected) {
            ejected.add(host);
        } else {
            ejected.remove(host);
        }
    }

    private void setPolicy(String line, String table) {
        String operation = fieldValue(line, "Mask").equals("1") ? "lookup" : "order";
        AdmissionPolicy policy = new AdmissionPolicy(
                Double.parseDouble(fieldValue(line, "Level")), Integer.parseInt(fieldValue(line, "OnFailure")));
        policies.computeIfAbsent(table, ignored -> new TreeMap<>()).put(operation, policy);
    }

    /** Returns a proxy's configuration in the format of {@link AppliedConfiguration#summary()}. */
    String summary(int proxy) {
        String table = tableByProxy.get(proxy);
        TreeMap<String, TreeMap<String, Double>> tableByOperation = new TreeMap<>();
        TreeMap<String, AdmissionPolicy> policyByOperation = new TreeMap<>();
        if (table != null) {
            tableByOperation.put("lookup", tables.get(table));
            tableByOperation.put("order", tables.get(table));
            policyByOperation.putAll(policies.getOrDefault(table, new TreeMap<>()));
        }
        return AppliedConfiguration.summary(tableByOperation, policyByOperation, ejected);
    }

    boolean hasReducedAdmission() {
        return policies.toString().contains("admissionRatio=0.");
    }
}
