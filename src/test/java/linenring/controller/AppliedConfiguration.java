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

/** A proxy's stream in a test: the configuration that its updates add up to, by operation. */
final class AppliedConfiguration implements ProxyStream {
    private static final List<String> OPERATIONS = List.of("lookup", "order");

    private final TreeMap<String, TreeMap<String, Double>> tables = new TreeMap<>(); // weight by host, by operation
    private final TreeMap<String, AdmissionPolicy> policies = new TreeMap<>(); // by operation
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
        part.entries().forEach(entry -> table.put(entry.host(), rounded(entry.weight())));
        table.values().removeIf(weight -> weight == 0);
        if (part.admission() != null) {
            double ratio = rounded(part.admission().admissionRatio());
            policies.put(operation, new AdmissionPolicy(ratio, part.admission().retryPolicyCode()));
        }
    }

    /** As the codec does. */
    private static double rounded(double value) {
        return Math.round(value * 1e4) / 1e4;
    }

    @Override
    public void close(String reason) {
        closeReason = reason;
    }

    /** The weights of an operation's table, by host. */
    Map<String, Double> table(String operation) {
        return Collections.unmodifiableMap(tables.get(operation));
    }

    Set<String> ejected() {
        return Collections.unmodifiableSet(ejected);
    }

    List<Integer> nonces() {
        return Collections.unmodifiableList(nonces);
    }

    /** Why the controller closed the stream; null while it has not. */
    String closeReason() {
        return closeReason;
    }

    /** The tables, policies and those ejections that matter, since a table holds the host; equal texts are equal configurations. */
    String summary() {
        return summary(tables, policies, ejected);
    }

    static String summary(
            SortedMap<String, ? extends Map<String, Double>> tables,
            SortedMap<String, AdmissionPolicy> policies,
            Set<String> ejected) {
        TreeSet<String> held = new TreeSet<>(ejected);
        held.removeIf(host -> tables.values().stream().noneMatch(table -> table.containsKey(host)));
        return tables + " " + policies + " ejected " + held;
    }
}
