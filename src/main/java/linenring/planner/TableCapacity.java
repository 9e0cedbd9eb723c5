package linenring.planner;

/**
 * Capacity and expected demand of one table, as of the last refresh of the {@link FleetStatistics}.
 *
 * @param requestsPerSecond usual requests a second of all proxies that it may serve
 * @param listedWeight weight of its running hosts
 * @param admittedWeight weight of those that are not ejected
 * @param warmWeight weight of those that are warm, too
 * @param ableWeight weight of those that are not ejected, a cold one by the least that it can do
 */
record TableCapacity(
        double requestsPerSecond, double listedWeight, double admittedWeight, double warmWeight, double ableWeight) {
    /** Of a table that no refresh has seen yet. */
    static final TableCapacity NONE = new TableCapacity(0, 0, 0, 0, 0);
}
