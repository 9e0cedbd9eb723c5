package linenring.controller;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.event.ProxyStream;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;

/** A proxy's stream in a test. It applies each update and holds the resulting configuration by operation. */
final class AppliedConfiguration implements ProxyStream {
    private static final List<String> OPERATIONS = List.of("lookup", "order");

    /** For each operation, the weights by host. */
    private final TreeMap<String, TreeMap<String, Double>> tables = new TreeMap<>();

    private final TreeMap<String, AdmissionPolicy> policies = new TreeMap<>(); // admission policy by operation
    private final TreeSet<String> ejected = new TreeSet<>();
    private final List<Integer> nonces = new ArrayList<>();
    private String closeReason;

    @Override
    public void write(ConfigurationUpdate update) {
        update.parts().forEach(this::apply);
    }

    private void apply(ConfigurationUpdate.Part part) {
        for (String operation : part.operations().isEmpty() ? OPERATIONS : part.operations()) {
            apply(part, operation);
        }
        ejected.addAll(part.ejected());
        ejected.removeAll(part.restored());
        if (part.nonce() != ConfigurationUpdate.WITHOUT_NONCE) {
            nonces.add(part.nonce());
        }
    }

    private void apply(ConfigurationUpdate.Part part, String operation) {
        TreeMap<String, Double> table = tables.computeIfAbsent(operation, ignored -> new TreeMap<>());
        if (part.replacesTable()) {
            table.clear();
            policies.remove(operation);
        }
        part.entries().forEach(entry -> table.put(entry.host(), roundAsOnWire(entry.weight())));
        table.values().removeIf(weight -> weight == 0);
        if (part.admission() != null) {
            double ratio = roundAsOnWire(part.admission().admissionRatio());
            policies.put(operation, new AdmissionPolicy(ratio, part.admission().retryPolicyCode()));
        }
    }

    /** Rounds a value to four decimal places, as the codec does. */
    private static double roundAsOnWire(double value) {
        return Math.round(value * 1e4) / 1e4;
    }

    @Override
    public void close(String reason) {
        closeReason = reason;
    }

    /** Returns the weights in an operation's table, by host. */
    Map<String, Double> table(String operation) {
        return Collections.unmodifiableMap(tables.get(operation));
    }

    Set<String> ejected() {
        return Collections.unmodifiableSet(ejected);
    }

    List<Integer> nonces() {
        return Collections.unmodifiableList(nonces);
    }

    /** Returns the reason for which the controller closed the stream, or null while the stream is open. */
    String closeReason() {
        return closeReason;
    }

    /**
     * Returns the tables, policies and ejections as text; equal texts mean equal configurations. Ejections of hosts that are in no
     * table are left out.
     */
    String summary() {
        return summary(tables, policies, ejected);
    }

    static String summary(
            SortedMap<String, ? extends Map<String, Double>> tables,
            SortedMap<String, AdmissionPolicy> policies,
            Set<String> ejected) {
        TreeSet<String> ejectedInTables = new TreeSet<>(ejected);
        ejectedInTables.removeIf(host -> tables.values().stream().noneMatch(table -> table.containsKey(host)));
        return tables + " " + policies + " ejected " + ejectedInTables;
    }
}
