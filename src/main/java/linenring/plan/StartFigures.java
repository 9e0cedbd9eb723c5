package linenring.plan;

import java.util.List;

/** What a steward is told at its start. Times are milliseconds, rates are per second. */
public record StartFigures(long seed, List<Operation> operations, Goal goal, ColdStart cold, Channel channel,
        Reports reports, Slices slices, Letting letting, boolean listMustBeAsked, double askListWithin,
        boolean goneNeedNotStop) {

    /** One operation; the masks have a bit for each zone and machine kind that it is open to. */
    public record Operation(double objective, double timeout, double value, double lateValue, Effect effect,
            Sharing sharing, double window, long zones, long kinds, boolean homeZoneOnly, int zoneCount) {
        /** Whether the other is open to the very same hosts. */
        boolean openTo(Operation other) {
            return zones == other.zones && kinds == other.kinds && homeZoneOnly == other.homeZoneOnly;
        }
    }

    /** What happens when an invocation runs twice. */
    public enum Effect { IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING }

    /** Which hosts know the fingerprint of an invocation that one of them has met. */
    public enum Sharing { ALL, ZONE, BAY }

    /** How much each part weighs in the count. */
    public record Goal(double whole, double worstWindow, double worstOperation) {
    }

    /** A host that has just started: its share of capacity, when it is warm, and what pushes it over. */
    public record ColdStart(double startsAt, double warmAfter, double fallMultiple, double fallFor) {
    }

    /** The way of an order: lines a second, its costs and its limits. */
    public record Channel(double pace, double perMessage, double mostWaiting, int messagesMost,
            double messagesOver, double transit, double transitMost, double grace, double bareMost) {
    }

    /** The sums that come back. */
    public record Reports(double interval, double linesPerSecond) {
    }

    /** Slices of keys, where there are any (count above 0). */
    public record Slices(int count, boolean singleOwner, double lease, double lingers) {
    }

    /** How levels are read, how long a try waits (times the objective), and the usual way of trying again. */
    public record Letting(Measure measure, double tryFactor, Orders.FurtherTries usual) {
    }

    /** What the figure of a level means. */
    public enum Measure { SHARE, PER_SECOND, NONE }
}
