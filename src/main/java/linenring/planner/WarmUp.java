package linenring.planner;

import linenring.planner.PlannerSettings.ColdStart;

/** What a host can do by the time since its start, as the settings state it. */
final class WarmUp {
    /** The design's ramp: a new host has its full weight after 10 s, or when it is warm if that is later. */
    private static final double SHORTEST_RAMP_MS = 10_000;

    private final ColdStart settings;
    private final DecisionTime time;
    private final double rampMs;

    WarmUp(ColdStart settings, DecisionTime time) {
        this.settings = settings;
        this.time = time;
        rampMs = Math.max(SHORTEST_RAMP_MS, settings.warmAfterMs());
    }

    /** How long after its start a host's weight is below the listed one. */
    double rampMs() {
        return rampMs;
    }

    boolean isWarm(Host host) {
        return time.nowMs() - host.startedMs() >= settings.warmAfterMs();
    }

    double ageMs(Host host) {
        return Math.max(0, time.nowMs() - host.startedMs());
    }

    /** How much of its warming time has passed, 1 at most. */
    double progress(Host host) {
        return Math.min(1, ageMs(host) / settings.warmAfterMs());
    }

    /** The least that it can do now, as a share of what it can do when warm. */
    double leastAbility(Host host) {
        return isWarm(host)
                ? 1
                : settings.initialCapacity() + (1 - settings.initialCapacity()) * ageMs(host) / settings.warmAfterMs();
    }
}
