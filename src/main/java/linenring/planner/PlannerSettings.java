package linenring.planner;

import java.util.List;

/** What a steward is told at its start and decides by. Times are milliseconds, rates are per second. */
public record PlannerSettings(
        List<Operation> operations,
        ColdStart cold,
        Channel channel,
        Slices slices,
        Measure measure,
        boolean listMustBeAsked,
        double askListWithin,
        boolean goneNeedNotStop,
        int standing) {

    /** Mask of the operations that are open to the same hosts as this one. */
    int alike(int operation) {
        int mask = 0;
        for (int other = 0; other < operations.size(); other++) {
            mask |= operations.get(other).openTo(operations.get(operation)) ? 1 << other : 0;
        }
        return mask;
    }

    /** One operation; the masks have a bit for each zone and machine kind that it is open to. */
    public record Operation(
            double objective, double value, long zones, long kinds, boolean homeZoneOnly, int zoneCount) {
        /** Whether the other is open to the very same hosts. */
        boolean openTo(Operation other) {
            return zones == other.zones && kinds == other.kinds && homeZoneOnly == other.homeZoneOnly;
        }

        /** Whether hosts of this zone and kind may run it; -1 is all, and other masks know the first 64 of them. */
        boolean isOpenTo(int zone, int kind) {
            return (zones == -1 || zone < Long.SIZE && (zones >> zone & 1) != 0)
                    && (kinds == -1 || kind < Long.SIZE && (kinds >> kind & 1) != 0);
        }
    }

    /** A host that has just started: its share of capacity at least, and when it is warm. */
    public record ColdStart(double startsAt, double warmAfter) {}

    /** The way of an order: lines a second, its costs and its limits. */
    public record Channel(
            double pace,
            double perMessage,
            double mostWaiting,
            int messagesMost,
            double messagesOver,
            double transit,
            double transitMost,
            double grace) {
        double linesPerMs() {
            return pace / 1000;
        }

        /** Lines that a message takes beside those it holds: its head, and one for the barrier request. */
        double messageCost() {
            return perMessage + 1;
        }
    }

    /** Slices of keys, where there are any (count above 0). */
    public record Slices(int count, boolean singleOwner, double lease, double lingers) {
        /** How long after a steward has lost a slice proxies may go on writing to its owner. */
        double writesEndWithin() {
            return lease + lingers;
        }
    }

    /** What the figure of a level means. */
    public enum Measure {
        SHARE,
        PER_SECOND,
        NONE
    }
}
