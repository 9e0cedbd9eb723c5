package linenring.planner;

/**
 * Outcomes of the proxies of one zone at hosts of the same zone and of other zones, and whether the zone is
 * partitioned from the others.
 */
final class Zone {
    private final int id;
    private final Outcomes sameZoneOutcomes = new Outcomes();
    private final Outcomes otherZonesOutcomes = new Outcomes();
    private double partitionedUntilMs;

    Zone(int id) {
        this.id = id;
    }

    int id() {
        return id;
    }

    /** Outcomes of this zone's proxies at hosts of the same zone. */
    Outcomes sameZoneOutcomes() {
        return sameZoneOutcomes;
    }

    /** Outcomes of this zone's proxies at hosts of other zones. */
    Outcomes otherZonesOutcomes() {
        return otherZonesOutcomes;
    }

    /** Whether the zone is partitioned, so that its proxies use only hosts of the same zone. */
    boolean isPartitioned(double nowMs) {
        return nowMs < partitionedUntilMs;
    }

    /** Marks the zone as partitioned until the given time, and clears the outcomes at hosts of other zones. */
    void markPartitionedUntil(double untilMs) {
        partitionedUntilMs = untilMs;
        otherZonesOutcomes.clear();
    }

    void decay(double factor) {
        sameZoneOutcomes.decay(factor);
        otherZonesOutcomes.decay(factor);
    }

    /** Whether the state of the zone does not change with time alone: no total decays and no partition ends. */
    boolean isIdle(double nowMs) {
        return sameZoneOutcomes.ended() == 0 && otherZonesOutcomes.ended() == 0 && !isPartitioned(nowMs);
    }
}
