package linenring.scale.run;

import java.util.Collection;
import java.util.Set;
import linenring.scale.fleet.SimulatedProxy;

/**
 * How far the tables of a fleet's proxies agree with the catalogue.
 *
 * @param notUpdated proxies that no controller has updated on their current stream
 * @param withoutHost proxies that have no host for some operation
 * @param staleEntries entries of hosts that are not ejected and that the catalogue does not list as ready
 * @param missingEntries hosts that the catalogue lists as ready and a table does not have; counted only if tables must be complete
 */
record Agreement(int notUpdated, int withoutHost, int staleEntries, int missingEntries) {
    /** Compares; {@code completeTables}: each table must have all hosts that are ready. */
    static Agreement of(Collection<SimulatedProxy> proxies, int operations, Set<String> ready, boolean completeTables) {
        int notUpdated = 0;
        int withoutHost = 0;
        int stale = 0;
        int missing = 0;
        for (SimulatedProxy proxy : proxies) {
            notUpdated += proxy.isUpdated() ? 0 : 1;
            withoutHost += !proxy.hasHosts() ? 1 : 0;
            for (int operation = 0; operation < operations; operation++) {
                Set<String> eligible = proxy.eligibleHosts(operation);
                int fresh = (int) eligible.stream().filter(ready::contains).count();
                stale += eligible.size() - fresh;
                missing += completeTables ? ready.size() - fresh : 0;
            }
        }
        return new Agreement(notUpdated, withoutHost, stale, missing);
    }

    /** Whether each proxy has a table of ready hosts only, and of all of them if tables must be complete. */
    boolean isComplete() {
        return notUpdated == 0 && withoutHost == 0 && staleEntries == 0 && missingEntries == 0;
    }

    @Override
    public String toString() {
        return notUpdated + " proxies without an update, " + withoutHost + " without a host, " + staleEntries
                + " entries of hosts that are not ready, " + missingEntries + " entries missing";
    }
}
