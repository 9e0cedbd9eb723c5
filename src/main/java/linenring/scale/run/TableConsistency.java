package linenring.scale.run;

import java.util.Collection;
import java.util.Set;
import linenring.scale.fleet.SimulatedProxy;

/**
 * The differences between the endpoint tables of a fleet's proxies and the catalogue.
 *
 * @param proxiesNotUpdated the number of proxies that have received no table update on their current stream
 * @param proxiesWithoutHost the number of proxies that have no host for at least one operation
 * @param staleEntries the number of table entries of hosts that are not ejected although the catalogue does not list them as
 *     ready
 * @param missingEntries the number of ready hosts missing from tables, summed over all tables; 0 unless tables must be
 *     complete
 */
record TableConsistency(int proxiesNotUpdated, int proxiesWithoutHost, int staleEntries, int missingEntries) {
    /** Compares tables with the catalogue; if {@code completeTables}, each table must hold all ready hosts. */
    static TableConsistency compare(
            Collection<SimulatedProxy> proxies, int operationCount, Set<String> readyHosts, boolean completeTables) {
        int notUpdated = 0;
        int withoutHost = 0;
        int staleEntries = 0;
        int missingEntries = 0;
        for (SimulatedProxy proxy : proxies) {
            notUpdated += proxy.isUpdated() ? 0 : 1;
            withoutHost += !proxy.hasHosts() ? 1 : 0;
            for (int operation = 0; operation < operationCount; operation++) {
                Set<String> eligible = proxy.eligibleHosts(operation);
                int eligibleAndReady =
                        (int) eligible.stream().filter(readyHosts::contains).count();
                staleEntries += eligible.size() - eligibleAndReady;
                missingEntries += completeTables ? readyHosts.size() - eligibleAndReady : 0;
            }
        }
        return new TableConsistency(notUpdated, withoutHost, staleEntries, missingEntries);
    }

    /** Whether each table holds only ready hosts, and all ready hosts if tables must be complete. */
    boolean isComplete() {
        return proxiesNotUpdated == 0 && proxiesWithoutHost == 0 && staleEntries == 0 && missingEntries == 0;
    }

    @Override
    public String toString() {
        return proxiesNotUpdated + " proxies have received no table update, " + proxiesWithoutHost
                + " proxies have no host for an operation, " + staleEntries
                + " table entries are hosts that are not ready, " + missingEntries
                + " ready hosts are missing from tables";
    }
}
