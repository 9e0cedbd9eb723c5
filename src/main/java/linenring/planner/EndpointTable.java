package linenring.planner;

import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Operation;

/**
 * A table of endpoints that proxies share, for the operations that are open to the same hosts, as it was last written. It is
 * full (all hosts), of one zone, of some subsets of the fleet, or that of a shard.
 *
 * <p>It belongs to the thread of the control loop, as the whole planner does. {@link AdmissionController} sets the admission ratios
 * and the retry policy, {@link ShardPlacement} the owner, {@link PendingChanges} and {@link TableWriter} the time of the last write.
 */
final class EndpointTable {
    /** The zone of a table that serves proxies of all zones. */
    static final int ALL_ZONES = -1;

    private static final int SPARE_ENTRIES = 32;
    private static final double NEVER_MS = -1e9;

    private final int number;
    private final int operations;
    private final Operation operation;
    private final int homeZone;
    private final int fullTable;
    private final int firstSubset;
    private final int subsetCount;
    private final List<Host> members;
    private final Set<ProxyState> users = new LinkedHashSet<>();
    private final double[] admissionRatio = new double[Integer.SIZE];
    private double[] weights = {};
    private int entryCount;
    private double writtenAtMs = NEVER_MS;
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
        this.fullTable = fullTable;
        this.firstSubset = firstSubset;
        this.subsetCount = subsetCount;
        this.members = members;
    }

    /** Its number at the proxies. */
    int number() {
        return number;
    }

    /** Mask of its operations; 0 for all. */
    int operations() {
        return operations;
    }

    /** The zone of the proxies and hosts that it is for, or {@link #ALL_ZONES}. */
    int homeZone() {
        return homeZone;
    }

    /** Number of zones that have a table like this one. */
    double zoneTables() {
        return homeZone == ALL_ZONES ? 1.0 : operation.zoneCount();
    }

    /** Index of the full table that it stands for, or its own. */
    int fullTable() {
        return fullTable;
    }

    /** Whether it is made of subsets of the fleet. */
    boolean isOfSubsets() {
        return firstSubset != Host.WITHOUT_SUBSET;
    }

    int firstSubset() {
        return firstSubset;
    }

    /** Number of subsets that it is made of. */
    int subsetCount() {
        return subsetCount;
    }

    /** The hosts that may be in it. */
    List<Host> members() {
        return Collections.unmodifiableList(members);
    }

    /** Adds a host to a table of subsets. */
    void addMember(Host host) {
        members.add(host);
    }

    /** Removes a host from a table of subsets; the others have a view of all hosts. */
    void removeMember(Host host) {
        members.remove(host);
    }

    /** Proxies that are bound to it, in the order of their binding. */
    Set<ProxyState> users() {
        return Collections.unmodifiableSet(users);
    }

    void addUser(ProxyState proxy) {
        users.add(proxy);
    }

    void removeUser(ProxyState proxy) {
        users.remove(proxy);
    }

    /** How many hosts have an entry. */
    int entryCount() {
        return entryCount;
    }

    boolean isEmpty() {
        return entryCount == 0;
    }

    /** The host's weight as last written; 0 for no entry. */
    double weight(Host host) {
        return host.id() < weights.length ? weights[host.id()] : 0;
    }

    boolean holds(Host host) {
        return weight(host) > 0;
    }

    void setWeight(Host host, double weight) {
        if (host.id() >= weights.length) {
            weights = Arrays.copyOf(weights, host.id() + SPARE_ENTRIES);
        }
        entryCount += (weight > 0 ? 1 : 0) - (weights[host.id()] > 0 ? 1 : 0);
        weights[host.id()] = weight;
    }

    private void clear() {
        Arrays.fill(weights, 0);
        entryCount = 0;
    }

    /** When it was last written, in milliseconds. */
    double writtenAtMs() {
        return writtenAtMs;
    }

    void markWritten(double nowMs) {
        writtenAtMs = nowMs;
    }

    /** How much of the operation it admits, as last written. */
    double admissionRatio(int operationIndex) {
        return admissionRatio[operationIndex];
    }

    void setAdmissionRatio(int operationIndex, double ratio) {
        admissionRatio[operationIndex] = ratio;
    }

    /** As last written, or null. */
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

    boolean isFor(int operationIndex) {
        return operations == 0 || ((operations >> operationIndex) & 1) != 0;
    }

    boolean servesZone(int zone) {
        return homeZone < 0 || homeZone == zone;
    }

    /** Whether the host's zone, kind and subset let it be in the table. */
    boolean accepts(Host host) {
        return operation.isOpenTo(host.zone(), host.kind()) && servesZone(host.zone()) && hasSubset(host.subset());
    }

    private boolean hasSubset(int subset) {
        return firstSubset < 0 || (subset >= firstSubset && subset < firstSubset + subsetCount);
    }

    /** Of a shard: the host of its one entry, or null. */
    Host owner() {
        return owner;
    }

    void setOwner(Host newOwner) {
        owner = newOwner;
    }

    /** Of a shard: since when it has no owner, in milliseconds. */
    double ownerlessSinceMs() {
        return ownerlessSinceMs;
    }

    void loseOwner(double sinceMs) {
        owner = null;
        ownerlessSinceMs = sinceMs;
    }

    /** Of a shard: it is another controller's until now, and nothing that was written holds. */
    void resetOwner(double sinceMs) {
        loseOwner(sinceMs);
        clear();
    }
}
