package linenring.planner;

/** What the proxies of one zone met at hosts of the same zone and of others, and whether the zone is cut off from the others. */
final class Zone {
    private final int id;
    private final Outcomes sameZone = new Outcomes();
    private final Outcomes otherZones = new Outcomes();
    private double partitionedUntilMs;

    Zone(int id) {
        this.id = id;
    }

    int id() {
        return id;
    }

    /** Outcomes of this zone's proxies at hosts of the zone. */
    Outcomes sameZone() {
        return sameZone;
    }

    /** Outcomes of this zone's proxies at hosts of other zones. */
    Outcomes otherZones() {
        return otherZones;
    }

    /** Whether its proxies keep to hosts of the zone. */
    boolean isPartitioned(double nowMs) {
        return nowMs < partitionedUntilMs;
    }

    /** Its proxies keep to their zone until then, and what they met elsewhere is forgotten. */
    void partitionUntil(double untilMs) {
        partitionedUntilMs = untilMs;
        otherZones.clear();
    }

    void decay(double factor) {
        sameZone.decay(factor);
        otherZones.decay(factor);
    }

    /** Whether time alone changes nothing here: no totals that decay, no partition that ends. */
    boolean isQuiet(double nowMs) {
        return sameZone.ended() == 0 && otherZones.ended() == 0 && !isPartitioned(nowMs);
    }
}
