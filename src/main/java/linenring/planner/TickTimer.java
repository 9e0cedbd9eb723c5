package linenring.planner;

/**
 * When the planner is to be called though nothing arrives: at the first tick of a fixed pace by which something is due, and not
 * at all while nothing is. Ticks that are passed over count on, so a call comes when it would have come with a call at each.
 * Times are milliseconds.
 */
final class TickTimer {
    /** Whoever calls may round times to whole milliseconds. */
    private static final double ROUNDING_MS = 1;

    private final double tickMs;
    private double lastTick;
    private double askedFor = Double.NEGATIVE_INFINITY;

    TickTimer(double tickMs) {
        this.tickMs = tickMs;
    }

    /** The last tick up to now, one that was passed over included. */
    double lastTickBy(double now) {
        return lastTickBy(now, 0);
    }

    private double lastTickBy(double now, double tolerance) {
        if (now + ROUNDING_MS >= askedFor) {
            return now;
        }
        double passed = tickMs * Math.floor((now + tolerance - lastTick) / tickMs);
        return Math.min(now, lastTick + passed);
    }

    /** The time of a call that is to be asked for; infinity if that is done already, or nothing is due. */
    double ask(double now, double due) {
        lastTick = lastTickBy(now, ROUNDING_MS);
        double next = lastTick + tickMs * Math.max(1, Math.ceil((due - lastTick) / tickMs));
        boolean isAsked = next == askedFor;
        askedFor = next;
        return isAsked ? Double.POSITIVE_INFINITY : next;
    }
}
