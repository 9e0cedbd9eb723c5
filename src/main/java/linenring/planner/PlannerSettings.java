package linenring.planner;

import java.util.List;

/**
 * Settings that a controller receives at its start.
 *
 * @param operations operations that proxies request, by index
 * @param coldStart capacity of a host before it is warm
 * @param channel the channel that carries updates to proxies
 * @param shards the shards of keys, if there are any
 * @param admissionUnit unit of an admission value
 * @param listMustBePolled whether the host list arrives only when it is polled
 * @param pollListWithinMs longest interval between two polls of the host list
 * @param removedHostsKeepRunning whether a host that is removed from the list continues to serve
 * @param defaultTableEntries entries of the default table, which a proxy holds when it starts
 */
public record PlannerSettings(
        List<Operation> operations,
        ColdStart coldStart,
        Channel channel,
        Shards shards,
        AdmissionUnit admissionUnit,
        boolean listMustBePolled,
        double pollListWithinMs,
        boolean removedHostsKeepRunning,
        int defaultTableEntries) {

    /** Returns the mask of the operations that are open to the same hosts as the given operation. */
    int operationsOpenToSameHosts(int operation) {
        int mask = 0;
        for (int i = 0; i < operations.size(); i++) {
            mask |= operations.get(i).isOpenToSameHosts(operations.get(operation)) ? 1 << i : 0;
        }
        return mask;
    }

    /**
     * An operation that proxies request.
     *
     * @param objectiveMs latency objective of the operation
     * @param priorityWeight priority weight of the operation: relative value of an answer within the objective, without a
     *     unit
     * @param zones mask of the zones whose hosts may run the operation; -1 for all
     * @param kinds mask of the kinds (machine types) that may run the operation; -1 for all
     * @param homeZoneOnly whether only hosts of the proxy's own zone may run the operation
     * @param zoneCount number of zones
     */
    public record Operation(
            double objectiveMs, double priorityWeight, long zones, long kinds, boolean homeZoneOnly, int zoneCount) {
        private static final long ALL = -1;

        /** Whether the other operation is open to exactly the same hosts as this operation. */
        boolean isOpenToSameHosts(Operation other) {
            return zones == other.zones && kinds == other.kinds && homeZoneOnly == other.homeZoneOnly;
        }

        /**
         * Whether hosts of this zone and kind may run the operation; a mask other than -1 covers the first 64 zones
         * or kinds.
         */
        boolean isOpenTo(int zone, int kind) {
            return hasBit(zones, zone) && hasBit(kinds, kind);
        }

        private static boolean hasBit(long mask, int index) {
            return mask == ALL || (index < Long.SIZE && ((mask >> index) & 1) != 0);
        }
    }

    /**
     * Capacity of a host that has just started.
     *
     * @param initialCapacity guaranteed capacity of a host at its start, as a share of its warm capacity
     * @param warmAfterMs time from a host's start until it is warm
     */
    public record ColdStart(double initialCapacity, double warmAfterMs) {}

    /**
     * The channel that carries updates to proxies, with its costs and its limits.
     *
     * @param entriesPerSecond send rate of the channel
     * @param messageOverheadEntries overhead of a message, in entries
     * @param maxQueuedEntries entries that may wait in the channel
     * @param maxMessages messages that one proxy may be sent within the span; 0 for no limit
     * @param messageLimitSpanMs span of the limit on messages
     * @param usualTransitMs usual transit time of a message, without its wait in the queue
     * @param longestTransitMs longest transit time of a message
     * @param drainGraceMs time for which a draining host still answers requests
     */
    public record Channel(
            double entriesPerSecond,
            double messageOverheadEntries,
            double maxQueuedEntries,
            int maxMessages,
            double messageLimitSpanMs,
            double usualTransitMs,
            double longestTransitMs,
            double drainGraceMs) {
        private static final double MILLIS_PER_SECOND = 1000;

        double entriesPerMs() {
            return entriesPerSecond / MILLIS_PER_SECOND;
        }

        /**
         * Cost of a message in entries beside the entries that it holds: its overhead, and one entry for the
         * acknowledgement request.
         */
        double messageCost() {
            return messageOverheadEntries + 1;
        }
    }

    /**
     * Shards of keys, if there are any (count above 0).
     *
     * @param count number of shards
     * @param requiresSingleOwner whether two hosts must never write the same shard
     * @param leaseMs time for which an owner may write after its controller has lost the shard
     * @param lingeringWritesMs time for which writes may continue after the lease
     */
    public record Shards(int count, boolean requiresSingleOwner, double leaseMs, double lingeringWritesMs) {
        /** Time for which proxies may continue to write to a shard's owner after the controller has lost the shard. */
        double writesEndWithinMs() {
            return leaseMs + lingeringWritesMs;
        }
    }

    /** Unit of an admission value. */
    public enum AdmissionUnit {
        /** Admission values are the share of requests that a proxy admits. */
        SHARE,
        /** Admission values are the requests a second that a proxy admits. */
        PER_SECOND,
        /** Admission values are not used: proxies admit all requests. */
        NONE
    }
}
