package linenring.planner;

/**
 * Detects a network partition between zones, and restricts the proxies of a partitioned zone to hosts of the same
 * zone. Inputs: the outcomes of each zone's proxies at hosts of the zone and at hosts of other zones (relative
 * latency), and the total request rate.
 *
 * <p>Failure guarded against: a network path between zones that is cut, slow or lossy. Attempts at hosts of other
 * zones then fail or are slow, and those at hosts of the same zone are not. In a fleet where a proxy meets each
 * host seldom, this continues for the whole partition, as the proxy has too few attempts to eject the hosts by
 * itself. Detection works because the attempts at all hosts of other zones are evaluated together. It could do harm
 * where only the hosts of other zones have failed: the hosts of the zone then carry more load than necessary for 10
 * s.
 */
final class PartitionDetector {
    /** Fewest attempts at hosts of the same zone by which a partition is detected. */
    private static final double MIN_SAME_ZONE_ATTEMPTS = 5;
    /** Fewest attempts at hosts of other zones by which a partition is detected. */
    private static final double MIN_OTHER_ZONES_ATTEMPTS = 10;
    /** Relative latency by which attempts at hosts of other zones must exceed those at hosts of the same zone. */
    private static final double MIN_RELATIVE_LATENCY_DIFFERENCE = 0.5;
    /**
     * Relative latency at hosts of the same zone from which no partition is detected, because the hosts are
     * overloaded.
     */
    private static final double MAX_SAME_ZONE_RELATIVE_LATENCY = 0.5;
    /** Time for which proxies use only hosts of their own zone; after it they use hosts of other zones again. */
    private static final double PARTITION_DURATION_MS = 10_000;

    private final PlannerContext context;

    PartitionDetector(PlannerContext context) {
        this.context = context;
    }

    /** Detects partitions and creates the zone tables of partitioned zones. */
    void detectPartitions() {
        for (Zone zone : context.fleet().zones()) {
            if (isCutOff(zone)) {
                if (!zone.isPartitioned(context.nowMs())) {
                    // the outcomes so far show the state of the network path and not of the hosts
                    context.fleet().hosts().forEach(context.statistics()::forgetOutcomes);
                }
                zone.markPartitionedUntil(context.nowMs() + PARTITION_DURATION_MS);
            }
            if (zone.isPartitioned(context.nowMs())) {
                context.registry()
                        .fullTables()
                        .forEach(fullTable -> context.registry().ensureZoneTable(fullTable, zone.id()));
            }
        }
    }

    private boolean isCutOff(Zone zone) {
        FleetStatistics statistics = context.statistics();
        double sameZoneLatency = statistics.relativeLatency(zone.sameZoneOutcomes());
        return statistics.requestsPerSecond() < statistics.minRequestsPerSecondForProxyEjection()
                && zone.sameZoneOutcomes().ended() >= MIN_SAME_ZONE_ATTEMPTS
                && zone.otherZonesOutcomes().ended() >= MIN_OTHER_ZONES_ATTEMPTS
                && statistics.relativeLatency(zone.otherZonesOutcomes())
                        > sameZoneLatency + MIN_RELATIVE_LATENCY_DIFFERENCE
                && sameZoneLatency < MAX_SAME_ZONE_RELATIVE_LATENCY;
    }

    boolean isAnyZonePartitioned() {
        return context.fleet().zones().stream().anyMatch(zone -> zone.isPartitioned(context.nowMs()));
    }

    /**
     * Returns the table that the proxy uses in place of a full table: the table of the proxy's own zone while the
     * zone is partitioned and has warm hosts, and else the full table.
     */
    EndpointTable tableFor(ProxyState proxy, EndpointTable fullTable) {
        if (!context.fleet().zone(proxy.zone()).isPartitioned(context.nowMs())) {
            return fullTable;
        }
        return context.registry().tables().stream()
                .filter(table -> table.fullTableIndex() == fullTable.fullTableIndex()
                        && table.homeZone() == proxy.zone()
                        && !table.isSubsetTable()
                        && table.capacity().warmWeight() > 0
                        && !table.isEmpty())
                .findFirst()
                .orElse(fullTable);
    }
}
