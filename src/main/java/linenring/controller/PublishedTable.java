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
 * One endpoint table that proxies share: its entries and admission policies, and what of them has changed since they were last
 * published. Owned by the control loop's thread.
 */
final class PublishedTable {
    private final TreeMap<Integer, Double> weights = new TreeMap<>(); // by host id
    private final AdmissionPolicy[] policies; // by operation; null where none is set
    private final Set<Integer> changedHosts = new TreeSet<>();
    private final BitSet changedPolicies = new BitSet();
    private boolean isCleared;

    PublishedTable(int operations) {
        policies = new AdmissionPolicy[operations];
    }

    // ---- changes

    /** Sets the weight of a host; 0 removes its entry. */
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

    /** Removes all entries and policies; the table is to be sent in full. */
    void clear() {
        weights.clear();
        Arrays.fill(policies, null);
        isCleared = true;
    }

    /** All proxies that use it have been sent what had changed. */
    void markPublished() {
        changedHosts.clear();
        changedPolicies.clear();
        isCleared = false;
    }

    // ---- what it holds

    /** The ids of its hosts, in ascending order. */
    Set<Integer> hosts() {
        return Collections.unmodifiableSet(weights.keySet());
    }

    boolean contains(int host) {
        return weights.containsKey(host);
    }

    /** The weight of a host; 0 where it has no entry. */
    double weight(int host) {
        return weights.getOrDefault(host, 0.0);
    }

    /** The admission policy of an operation; null where none is set. */
    AdmissionPolicy policy(int operation) {
        return policies[operation];
    }

    /** Whether nothing is set in it. */
    boolean isEmpty() {
        return weights.isEmpty() && Arrays.stream(policies).allMatch(Objects::isNull);
    }

    // ---- what has changed since it was last published

    Set<Integer> changedHosts() {
        return Collections.unmodifiableSet(changedHosts);
    }

    /** Whether proxies that use it hold the host, or do once they have applied what has changed. */
    boolean mayBeHeld(int host) {
        return contains(host) || changedHosts.contains(host);
    }

    boolean isPolicyChanged(int operation) {
        return changedPolicies.get(operation);
    }

    boolean isCleared() {
        return isCleared;
    }
}
