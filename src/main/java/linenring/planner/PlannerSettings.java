package linenring.planner;

import java.util.List;

/**
 * What a controller is given at its start and decides by.
 *
 * @param operations what proxies request, by index
 * @param coldStart what a host can do before it is warm
 * @param channel the channel that carries updates to proxies
 * @param shards the shards of keys, where there are any
 * @param measure unit of an admission value
 * @param listMustBePolled whether the host list comes only when it is asked for
 * @param pollListWithinMs how often it must be asked for then
 * @param removedHostsKeepRunning whether a host that is gone from the list goes on serving
 * @param defaultTableEntries entries of the default table, which a proxy holds when it starts
 */
public record PlannerSettings(
        List<Operation> operations,
        ColdStart coldStart,
        Channel channel,
        Shards shards,
        Measure measure,
        boolean listMustBePolled,
        double pollListWithinMs,
        boolean removedHostsKeepRunning,
        int defaultTableEntries) {

    /** Mask of the operations that are open to the same hosts as this one. */
    int operationsOpenToSameHosts(int operation) {
        int mask = 0;
        for (int i = 0; i < operations.size(); i++) {
            mask |= operations.get(i).isOpenToSameHosts(operations.get(operation)) ? 1 << i : 0;
        }
        return mask;
    }

    /**
     * One operation.
     *
     * @param objectiveMs its latency objective
     * @param value its priority weight: what an answer in time counts beside those of other operations; relative, no unit
     * @param zones mask of the zones whose hosts may run it; -1 for all
     * @param kinds mask of the kinds of machines that may run it; -1 for all
     * @param homeZoneOnly whether only hosts of the proxy's own zone may run it
     * @param zoneCount number of zones
     */
    public record Operation(
            double objectiveMs, double value, long zones, long kinds, boolean homeZoneOnly, int zoneCount) {
        private static final long ALL = -1;

        /** Whether the other is open to the very same hosts. */
        boolean isOpenToSameHosts(Operation other) {
            return zones == other.zones && kinds == other.kinds && homeZoneOnly == other.homeZoneOnly;
        }

        /** Whether hosts of this zone and kind may run it; a mask other than all knows the first 64 of them. */
        boolean isOpenTo(int zone, int kind) {
            return hasBit(zones, zone) && hasBit(kinds, kind);
        }

        private static boolean hasBit(long mask, int index) {
            return mask == ALL || (index < Long.SIZE && ((mask >> index) & 1) != 0);
        }
    }

    /**
     * A host that has just started.
     *
     * @param initialCapacity what it can do at its start at least, as a share of what it can do when warm
     * @param warmAfterMs when it is warm
     */
    public record ColdStart(double initialCapacity, double warmAfterMs) {}

    /**
     * The channel that carries updates to proxies, with its costs and its limits.
     *
     * @param entriesPerSecond its rate
     * @param headEntries entries that the head of a message counts as
     * @param maxQueuedEntries entries that may wait in it
     * @param maxMessages messages that one proxy may be sent within the span; 0 for no limit
     * @param messageLimitSpanMs the span of that limit
     * @param transitMs how long a message usually takes beside its wait
     * @param longestTransitMs how long it takes at most
     * @param drainGraceMs how long a host that drains still answers
     */
    public record Channel(
            double entriesPerSecond,
            double headEntries,
            double maxQueuedEntries,
            int maxMessages,
            double messageLimitSpanMs,
            double transitMs,
            double longestTransitMs,
            double drainGraceMs) {
        private static final double MILLIS_PER_SECOND = 1000;

        double entriesPerMs() {
            return entriesPerSecond / MILLIS_PER_SECOND;
        }

        /** Entries that a message takes beside those it holds: its head, and one for the acknowledgement request. */
        double messageCost() {
            return headEntries + 1;
        }
    }

    /**
     * Shards of keys, where there are any (count above 0).
     *
     * @param count number of shards
     * @param singleOwner whether two hosts must never write the same shard
     * @param leaseMs for how long an owner may write after its controller has lost the shard
     * @param lingeringMs for how long writes may go on after the lease
     */
    public record Shards(int count, boolean singleOwner, double leaseMs, double lingeringMs) {
        /** How long after a controller has lost a shard proxies may go on writing to its owner. */
        double writesEndWithinMs() {
            return leaseMs + lingeringMs;
        }
    }

    /** Unit of an admission value. */
    public enum Measure {
        /** The share of requests that is admitted. */
        SHARE,
        /** Requests a second that a proxy admits. */
        PER_SECOND,
        /** Nothing: proxies admit all. */
        NONE
    }
}
