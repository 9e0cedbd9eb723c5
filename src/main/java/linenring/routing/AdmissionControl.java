package linenring.routing;

import linenring.planner.PlannerSettings.Measure;

/**
 * How much of an operation is let in at one proxy: a share, drawn anew for each invocation, or a rate. A rate is kept
 * by a bucket of tokens that holds a quarter of a second's, one at least: callers' bursts are shorter, and what a
 * steward turns away is meant to be turned away within its next report.
 */
final class AdmissionControl {
    /** All is let in. */
    static final AdmissionControl ALL = new AdmissionControl(1, Measure.NONE);

    private static final double BURST_S = 0.25;

    private final double level;
    private final Measure measure;
    private double tokens;
    private double filledAt = Double.NaN;

    AdmissionControl(double level, Measure measure) {
        this.level = level;
        this.measure = measure;
        tokens = most();
    }

    private double most() {
        return Math.max(1, level * BURST_S);
    }

    /** 0 if it is let in, else when it is worth coming back: ms from now, or infinity where nobody knows. */
    double wait(double now, double draw) {
        return switch (measure) {
            case NONE -> 0;
            case SHARE -> draw < level ? 0 : Double.POSITIVE_INFINITY;
            case PER_SECOND -> take(now);
        };
    }

    private synchronized double take(double now) {
        if (level <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        tokens = Double.isNaN(filledAt) ? tokens : Math.min(most(), tokens + (now - filledAt) / 1000 * level);
        filledAt = now;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return (1 - tokens) / level * 1000;
    }

    /** The same level goes on with the tokens it has. */
    AdmissionControl next(double level, Measure measure) {
        return this.level == level && this.measure == measure ? this : new AdmissionControl(level, measure);
    }
}
