package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that proxies get tables of subsets where the channel cannot carry full tables for all of them. */
class SubsetAssignerTest {
    private static long servingHostCount(FakeProxies fleet, int proxy) {
        return fleet.entries(proxy).keySet().stream()
                .filter(host -> fleet.weight(proxy, host) > 0)
                .count();
    }

    private static boolean isInUse(FakeProxies fleet, int host) {
        return fleet.tableByProxy().values().stream()
                .anyMatch(table -> fleet.tables().get(table).containsKey(host));
    }

    private static long newHostCount(FakeProxies fleet, int table) {
        return fleet.tables().get(table).keySet().stream()
                .filter(host -> host >= 40)
                .count();
    }

    /**
     * Guards against a join surge: another controller fails and all its proxies join at once. The channel needs
     * seconds to send full tables to them, and in this time the proxies would use their old tables with hosts that
     * drain.
     */
    @Test
    void givesJoiningProxiesSubsetTablesDuringJoinSurge() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(40, 2);
        int fullTable = fleet.tableByProxy().get(0);
        // 98 proxies join: 100 full tables take 4.6 s to send, and tables of the default table's size 1.2 s
        for (int proxy = 2; proxy < 100; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile();
        assertEquals(100, fleet.tableByProxy().size());
        assertTrue(
                fleet.tableByProxy().get(99) != fullTable && fleet.entries(99).size() < 10);
        fleet.advance(8000);
        assertEquals(fullTable, fleet.tableByProxy().get(0)); // a proxy that has a full table keeps it
        int entriesAfterSurge = fleet.entries(99).size();
        assertTrue(entriesAfterSurge > 15 && entriesAfterSurge < 30, entriesAfterSurge + " of 40");
        for (int proxy = 50; proxy < 100; proxy++) { // half of the proxies return to the other controller
            fleet.planner().proxyDisconnected(proxy);
            fleet.joined().remove(proxy);
            fleet.tableByProxy().remove(proxy);
        }
        fleet.advance(8000);
        assertEquals(Set.of(fullTable), Set.copyOf(fleet.tableByProxy().values()));
        assertEquals(Set.of(fullTable), fleet.tables().keySet()); // the tables of subsets are cleared
    }

    /** Guards against proxies without hosts after all hosts of one subset have drained. */
    @Test
    void movesProxiesFromSubsetWithoutHosts() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(40, 0);
        for (int proxy = 0; proxy < 200; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile().advance(8000);
        Set<Integer> drainedHosts = Set.copyOf(fleet.entries(0).keySet());
        assertTrue(drainedHosts.size() < 20);
        for (int host = 40; host < 50; host++) {
            fleet.startHost(host);
        }
        drainedHosts.forEach(fleet::drainHost);
        fleet.reconcile().advance(25_000);
        for (int proxy = 0; proxy < 200; proxy++) {
            assertTrue(servingHostCount(fleet, proxy) > 2);
        }
        for (int host = 40; host < 50; host++) {
            assertTrue(isInUse(fleet, host), "host " + host);
        }
    }

    /**
     * Guards against uneven load after hosts of one subset drain and new hosts start. If new hosts were assigned to
     * subsets in turn, three proxies would share a host in that subset and fewer than one in the others.
     */
    @Test
    void assignsReplacementsToSubsetThatLostHosts() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(40, 0);
        for (int proxy = 0; proxy < 200; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile().advance(8000);
        int reducedTable = fleet.tableByProxy().get(0);
        Set<Integer> drainCandidates =
                Set.copyOf(fleet.tables().get(reducedTable).keySet());
        List<Integer> otherTables = fleet.tableByProxy().values().stream()
                .distinct()
                .filter(table -> table != reducedTable)
                .toList();
        drainCandidates.stream()
                .filter(host -> host % 20 >= 6)
                .forEach(fleet::drainHost); // some hosts of each subset stay, as hosts are assigned to subsets in turn
        fleet.reconcile().advance(3000);
        for (int host = 40; host < 46; host++) {
            fleet.startHost(host);
        }
        fleet.reconcile().advance(4000);
        long newHostsInReducedTable = newHostCount(fleet, reducedTable);
        otherTables.forEach(table -> assertTrue(
                newHostsInReducedTable > newHostCount(fleet, table),
                newHostsInReducedTable + " and " + newHostCount(fleet, table)));
    }

    @Test
    void givesJoiningProxiesSubsetsOfEachFullTable() {
        FakeProxies fleet = new FakeProxies(
                        settings(0, FakeProxies.operation(1, FakeProxies.ALL), FakeProxies.operation(1, 1)))
                .start(40, 0);
        for (int proxy = 0; proxy < 60; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile();
        assertEquals(
                60,
                fleet.tableByProxy().size()); // the latest bind of each proxy is to a subset of the second full table
        assertTrue(fleet.tableByProxy().values().stream()
                .allMatch(table -> fleet.tables().get(table).keySet().stream().allMatch(host -> host % 2 == 0)));
    }
}
