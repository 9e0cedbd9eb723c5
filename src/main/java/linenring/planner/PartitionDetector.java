package linenring.planner;

/**
 * Detects a network partition between zones, and keeps the proxies of a cut-off zone to hosts of their own. Inputs: outcomes of
 * each zone's proxies at hosts of the zone and of others (lateness in objectives), requests a second in all.
 *
 * <p>Failure guarded against: a network path between zones that is cut, slow or lossy. It shows as attempts that fail or are late at hosts
 * of other zones and not at those of the own; in a fleet where a proxy meets a host seldom it goes on for the whole cut, as the
 * proxy cannot avoid the hosts by itself. The guard holds because the far attempts are judged together. It could do harm
 * where only hosts elsewhere are lost: then the hosts of the zone carry more than they need to for 10 s.
 */
final class PartitionDetector {
    /** Fewer attempts at hosts of the own zone prove nothing. No reason is recorded for the value. */
    private static final double MIN_NEAR_ATTEMPTS = 5;
    /** Fewer attempts at hosts of other zones prove nothing. No reason is recorded for the value. */
    private static final double MIN_FAR_ATTEMPTS = 10;
    /** Far attempts are later than near ones by half an objective... */
    private static final double MIN_LATENESS_DIFFERENCE = 0.5;
    /** ... while near ones take under half: else there is an overload, and no cut. */
    private static final double MAX_NEAR_LATENESS = 0.5;
    /** Time for which proxies keep to their zone; then the far hosts are tried anew. */
    private static final double PARTITION_LASTS_MS = 10_000;

    private final PlannerContext context;

    PartitionDetector(PlannerContext context) {
        this.context = context;
    }

    /** Detects partitions and creates the zone tables of the zones that are cut off. */
    void detect() {
        for (Zone zone : context.fleet().zones()) {
            if (isCutOff(zone)) {
                if (!zone.isPartitioned(context.nowMs())) {
                    // outcomes so far are those of the path and not of the hosts
                    context.fleet().hosts().forEach(context.statistics()::forgetOutcomes);
                }
                zone.partitionUntil(context.nowMs() + PARTITION_LASTS_MS);
            }
            if (zone.isPartitioned(context.nowMs())) {
                context.registry()
                        .fullTables()
                        .forEach(full -> context.registry().ensureZoneTable(full, zone.id()));
            }
        }
    }

    private boolean isCutOff(Zone zone) {
        FleetStatistics statistics = context.statistics();
        double nearLateness = statistics.lateness(zone.sameZone());
        return statistics.requestsPerSecond() < statistics.requestsPerSecondToMeetEveryHost()
                && zone.sameZone().ended() >= MIN_NEAR_ATTEMPTS
                && zone.otherZones().ended() >= MIN_FAR_ATTEMPTS
                && statistics.lateness(zone.otherZones()) > nearLateness + MIN_LATENESS_DIFFERENCE
                && nearLateness < MAX_NEAR_LATENESS;
    }

    boolean isAnyZonePartitioned() {
        return context.fleet().zones().stream().anyMatch(zone -> zone.isPartitioned(context.nowMs()));
    }

    /** The table for the proxy in place of a full one: that of its own zone while it is cut off and has warm hosts. */
    EndpointTable tableFor(ProxyState proxy, EndpointTable full) {
        if (!context.fleet().zone(proxy.zone()).isPartitioned(context.nowMs())) {
            return full;
        }
        return context.registry().tables().stream()
                .filter(table -> table.fullTable() == full.fullTable()
                        && table.homeZone() == proxy.zone()
                        && !table.isOfSubsets()
                        && table.capacity().warmWeight() > 0
                        && !table.isEmpty())
                .findFirst()
                .orElse(full);
    }
}
