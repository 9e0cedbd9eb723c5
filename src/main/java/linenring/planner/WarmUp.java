package linenring.planner;

import linenring.planner.PlannerSettings.ColdStart;

/** Computes the guaranteed capacity of a host by the time since its start, from the settings. */
final class WarmUp {
    /**
     * Shortest duration of the slow start ramp: a new host has its full weight after 10 s, or when it is warm if
     * that is later.
     */
    private static final double MIN_RAMP_MS = 10_000;

    private final ColdStart settings;
    private final DecisionTime time;
    private final double rampMs;

    WarmUp(ColdStart settings, DecisionTime time) {
        this.settings = settings;
        this.time = time;
        rampMs = Math.max(MIN_RAMP_MS, settings.warmAfterMs());
    }

    /** Time after its start for which a host's weight stays below its listed weight. */
    double rampMs() {
        return rampMs;
    }

    boolean isWarm(Host host) {
        return time.nowMs() - host.startedMs() >= settings.warmAfterMs();
    }

    double ageMs(Host host) {
        return Math.max(0, time.nowMs() - host.startedMs());
    }

    /** Share of the host's warming time that has passed, 1 at most. */
    double warmUpProgress(Host host) {
        return Math.min(1, ageMs(host) / settings.warmAfterMs());
    }

    /** Guaranteed capacity of the host now, as a share of its warm capacity. */
    double guaranteedCapacity(Host host) {
        return isWarm(host)
                ? 1
                : settings.initialCapacity() + (1 - settings.initialCapacity()) * ageMs(host) / settings.warmAfterMs();
    }
}
