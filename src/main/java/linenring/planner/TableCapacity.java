package linenring.planner;

/**
 * Capacity and expected request rate of one endpoint table, as of the last refresh of {@link FleetStatistics}.
 *
 * @param requestsPerSecond usual requests per second of all proxies that the table may serve
 * @param runningWeight total weight of the table's running hosts
 * @param notEjectedWeight total weight of the running hosts that are not ejected
 * @param warmWeight total weight of the running hosts that are warm and not ejected
 * @param guaranteedWeight total weight of the running hosts that are not ejected, with each cold host scaled down
 *     to its guaranteed capacity
 */
record TableCapacity(
        double requestsPerSecond,
        double runningWeight,
        double notEjectedWeight,
        double warmWeight,
        double guaranteedWeight) {
    /** Capacity of a new table, before the first refresh. */
    static final TableCapacity NONE = new TableCapacity(0, 0, 0, 0, 0);
}
