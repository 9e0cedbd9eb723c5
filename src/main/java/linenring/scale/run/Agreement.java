package linenring.scale.run;

import java.util.Collection;
import java.util.Set;
import linenring.scale.fleet.SimulatedProxy;

/**
 * How far the tables of a fleet's proxies agree with the catalogue.
 *
 * @param notOrdered proxies that no steward has written to on their present stream
 * @param withoutHost proxies that have no host for some operation
 * @param staleLines open lines of hosts that the catalogue does not list as ready
 * @param missingLines hosts that the catalogue lists as ready and a table does not have; counted only where tables are whole
 */
record Agreement(int notOrdered, int withoutHost, int staleLines, int missingLines) {
    /** Compares; {@code whole}: each table is to have all hosts that are ready. */
    static Agreement of(Collection<SimulatedProxy> proxies, int operations, Set<String> ready, boolean whole) {
        int notOrdered = 0;
        int withoutHost = 0;
        int stale = 0;
        int missing = 0;
        for (SimulatedProxy proxy : proxies) {
            notOrdered += proxy.isUpdated() ? 0 : 1;
            withoutHost += !proxy.hasHosts() ? 1 : 0;
            for (int operation = 0; operation < operations; operation++) {
                Set<String> open = proxy.eligibleHosts(operation);
                int fresh = (int) open.stream().filter(ready::contains).count();
                stale += open.size() - fresh;
                missing += whole ? ready.size() - fresh : 0;
            }
        }
        return new Agreement(notOrdered, withoutHost, stale, missing);
    }

    /** Whether each proxy has a table of hosts that are ready, and all of them where tables are whole. */
    boolean isComplete() {
        return notOrdered == 0 && withoutHost == 0 && staleLines == 0 && missingLines == 0;
    }

    @Override
    public String toString() {
        return notOrdered + " proxies without an order, " + withoutHost + " without a host, " + staleLines
                + " lines of hosts that are not ready, " + missingLines + " lines missing";
    }
}
