package linenring.planner;

import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Operation;

/**
 * An endpoint table that several proxies share, for operations that may run on the same hosts, with its content as
 * last written. A table holds all hosts (a full table), the hosts of one zone, the hosts of some subsets of the
 * fleet, or the owner of one shard.
 *
 * <p>Tables are confined to the control loop's thread, as is the whole planner. {@link AdmissionController} sets the
 * admission ratios and the retry policy, {@link ShardPlacement} sets the owner, {@link PendingChanges} and {@link
 * TableWriter} set the time of the last write.
 */
final class EndpointTable {
    /** The home zone of a table that serves the proxies of all zones. */
    static final int ALL_ZONES = -1;

    private static final int WEIGHTS_GROWTH = 32;
    private static final double NEVER_WRITTEN_MS = -1e9;

    private final int number;
    private final int operations;
    private final Operation operation;
    private final int homeZone;
    private final int fullTableIndex;
    private final int firstSubset;
    private final int subsetCount;
    private final List<Host> members;
    private final Set<ProxyState> boundProxies = new LinkedHashSet<>();
    private final double[] admissionRatio = new double[Integer.SIZE];
    private double[] weights = {};
    private int entryCount;
    private double writtenAtMs = NEVER_WRITTEN_MS;
    private TableCapacity capacity = TableCapacity.NONE;
    private RetryPolicy retryPolicy;
    private Host owner;
    private double ownerlessSinceMs;

    EndpointTable(
            int number,
            int operations,
            Operation operation,
            int homeZone,
            int fullTable,
            int firstSubset,
            int subsetCount,
            List<Host> members) {
        this.number = number;
        this.operations = operations;
        this.operation = operation;
        this.homeZone = homeZone;
        this.fullTableIndex = fullTable;
        this.firstSubset = firstSubset;
        this.subsetCount = subsetCount;
        this.members = members;
    }

    /** Returns the number by which proxies identify the table. */
    int number() {
        return number;
    }

    /** Returns the mask of the table's operations: bit k represents operation k, and 0 for all operations. */
    int operations() {
        return operations;
    }

    /** Returns the zone whose proxies and hosts the table is for, or {@link #ALL_ZONES}. */
    int homeZone() {
        return homeZone;
    }

    /** Number of zones that have a table for the same operations; 1 for a table of all zones. */
    double zoneTableCount() {
        return homeZone == ALL_ZONES ? 1.0 : operation.zoneCount();
    }

    /** Returns the index of the full table that the table replaces for its proxies; its own index for a full table. */
    int fullTableIndex() {
        return fullTableIndex;
    }

    /** Whether the table holds only some subsets of the fleet. */
    boolean isSubsetTable() {
        return firstSubset != Host.WITHOUT_SUBSET;
    }

    int firstSubset() {
        return firstSubset;
    }

    /** Number of subsets of the fleet whose hosts the table holds. */
    int subsetCount() {
        return subsetCount;
    }

    /** Returns the hosts that may have an entry in the table. */
    List<Host> members() {
        return Collections.unmodifiableList(members);
    }

    /** Adds a host to a table that holds subsets of the fleet. */
    void addMember(Host host) {
        members.add(host);
    }

    /**
     * Removes a host from a table that holds subsets of the fleet; all other tables share a view of the whole fleet.
     */
    void removeMember(Host host) {
        members.remove(host);
    }

    /** Returns the proxies that are bound to the table, in the order in which they were bound. */
    Set<ProxyState> boundProxies() {
        return Collections.unmodifiableSet(boundProxies);
    }

    void addBoundProxy(ProxyState proxy) {
        boundProxies.add(proxy);
    }

    void removeBoundProxy(ProxyState proxy) {
        boundProxies.remove(proxy);
    }

    /** Number of hosts that have an entry in the table. */
    int entryCount() {
        return entryCount;
    }

    boolean isEmpty() {
        return entryCount == 0;
    }

    /** Returns the host's weight as last written; 0 if the host has no entry. */
    double weight(Host host) {
        return host.id() < weights.length ? weights[host.id()] : 0;
    }

    boolean holds(Host host) {
        return weight(host) > 0;
    }

    void setWeight(Host host, double weight) {
        if (host.id() >= weights.length) {
            weights = Arrays.copyOf(weights, host.id() + WEIGHTS_GROWTH);
        }
        entryCount += (weight > 0 ? 1 : 0) - (weights[host.id()] > 0 ? 1 : 0);
        weights[host.id()] = weight;
    }

    private void clear() {
        Arrays.fill(weights, 0);
        entryCount = 0;
    }

    /** Returns the time of the last write to the table, in milliseconds. */
    double writtenAtMs() {
        return writtenAtMs;
    }

    void markWritten(double nowMs) {
        writtenAtMs = nowMs;
    }

    /** Returns the admission ratio of the operation, as last written. */
    double admissionRatio(int operationIndex) {
        return admissionRatio[operationIndex];
    }

    void setAdmissionRatio(int operationIndex, double ratio) {
        admissionRatio[operationIndex] = ratio;
    }

    /** Returns the retry policy as last written, or null before the first write. */
    RetryPolicy retryPolicy() {
        return retryPolicy;
    }

    void setRetryPolicy(RetryPolicy policy) {
        retryPolicy = policy;
    }

    TableCapacity capacity() {
        return capacity;
    }

    void setCapacity(TableCapacity newCapacity) {
        capacity = newCapacity;
    }

    boolean appliesToOperation(int operationIndex) {
        return operations == 0 || ((operations >> operationIndex) & 1) != 0;
    }

    boolean servesZone(int zone) {
        return homeZone < 0 || homeZone == zone;
    }

    /** Whether the host's zone, kind and subset allow the host to have an entry in the table. */
    boolean accepts(Host host) {
        return operation.isOpenTo(host.zone(), host.kind()) && servesZone(host.zone()) && includesSubset(host.subset());
    }

    private boolean includesSubset(int subset) {
        return firstSubset < 0 || (subset >= firstSubset && subset < firstSubset + subsetCount);
    }

    /** Returns the owner of the shard, which is the only host in a shard's table, or null if the shard has no owner. */
    Host owner() {
        return owner;
    }

    void setOwner(Host newOwner) {
        owner = newOwner;
    }

    /** Returns the time since which the shard has had no owner, in milliseconds. */
    double ownerlessSinceMs() {
        return ownerlessSinceMs;
    }

    void clearOwner(double sinceMs) {
        owner = null;
        ownerlessSinceMs = sinceMs;
    }

    /**
     * Removes the shard's owner and all entries: another controller was in charge of the shard, so the last written
     * state is outdated.
     */
    void discardOwnerAndEntries(double sinceMs) {
        clearOwner(sinceMs);
        clear();
    }
}
