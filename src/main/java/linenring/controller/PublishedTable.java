package linenring.controller;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;

/**
 * One endpoint table shared by proxies: its entries, its admission policies, and their changes since the table was last published.
 * Owned by the control loop's thread.
 */
final class PublishedTable {
    private final TreeMap<Integer, Double> weights = new TreeMap<>(); // weight by host id
    private final AdmissionPolicy[] policies; // policy by operation; null if not set
    private final Set<Integer> changedHosts = new TreeSet<>();
    private final BitSet changedPolicies = new BitSet();
    private boolean isCleared;

    PublishedTable(int operations) {
        policies = new AdmissionPolicy[operations];
    }

    /** Sets the weight of a host; a weight of 0 removes the host's entry. */
    void setWeight(int host, double weight) {
        if (weight > 0) {
            weights.put(host, weight);
        } else {
            weights.remove(host);
        }
        changedHosts.add(host);
    }

    void setPolicy(int operation, AdmissionPolicy policy) {
        policies[operation] = policy;
        changedPolicies.set(operation);
    }

    /** Removes all entries and policies, and marks the complete table as due to be sent. */
    void clear() {
        weights.clear();
        Arrays.fill(policies, null);
        isCleared = true;
    }

    /** Discards the record of changes after they were sent to all proxies that use the table. */
    void markPublished() {
        changedHosts.clear();
        changedPolicies.clear();
        isCleared = false;
    }

    /** Returns the ids of the hosts in the table, in ascending order. */
    Set<Integer> hosts() {
        return Collections.unmodifiableSet(weights.keySet());
    }

    boolean contains(int host) {
        return weights.containsKey(host);
    }

    /** Returns the weight of a host, or 0 if the table has no entry for the host. */
    double weight(int host) {
        return weights.getOrDefault(host, 0.0);
    }

    /** Returns the admission policy of an operation, or null if none is set. */
    AdmissionPolicy policy(int operation) {
        return policies[operation];
    }

    /** Whether the table has neither entries nor policies. */
    boolean isEmpty() {
        return weights.isEmpty() && Arrays.stream(policies).allMatch(Objects::isNull);
    }

    Set<Integer> changedHosts() {
        return Collections.unmodifiableSet(changedHosts);
    }

    /** Whether a proxy that uses the table may have the host in its copy, before or after it applies the recorded changes. */
    boolean mayBeHeldByProxy(int host) {
        return contains(host) || changedHosts.contains(host);
    }

    boolean isPolicyChanged(int operation) {
        return changedPolicies.get(operation);
    }

    boolean isCleared() {
        return isCleared;
    }
}
