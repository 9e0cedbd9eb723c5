package linenring.planner;

import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Proxies get tables of subsets where the channel has no full ones for all. */
class SubsetAssignerTest {
    private static long servingHosts(FakeProxies fleet, int proxy) {
        return fleet.entries(proxy).keySet().stream()
                .filter(host -> fleet.weight(proxy, host) > 0)
                .count();
    }

    private static boolean isInUse(FakeProxies fleet, int host) {
        return fleet.bound().values().stream()
                .anyMatch(table -> fleet.tables().get(table).containsKey(host));
    }

    private static long newHosts(FakeProxies fleet, int table) {
        return fleet.tables().get(table).keySet().stream()
                .filter(host -> host >= 40)
                .count();
    }

    /**
     * Another controller dies and its proxies come all at once. Full tables for them take the channel seconds, in which
     * they would hold what they had, hosts that drain included.
     */
    @Test
    void givesNewcomersSubsetWhileChannelHasNoFullTables() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(40, 2);
        int full = fleet.bound().get(0);
        for (int proxy = 2;
                proxy < 100;
                proxy++) { // their controller died: 100 full tables take 4.6 s, tables of a standing one's size 1.2 s
            fleet.join(proxy);
        }
        fleet.reconcile();
        assertEquals(100, fleet.bound().size());
        assertTrue(fleet.bound().get(99) != full && fleet.entries(99).size() < 10);
        fleet.pass(8000);
        assertEquals(full, fleet.bound().get(0)); // who has one keeps it
        int wider = fleet.entries(99).size();
        assertTrue(wider > 15 && wider < 30, wider + " of 40");
        for (int proxy = 50; proxy < 100; proxy++) { // it is back
            fleet.planner().proxyDisconnected(proxy);
            fleet.joined().remove(proxy);
            fleet.bound().remove(proxy);
        }
        fleet.pass(8000);
        assertEquals(Set.of(full), Set.copyOf(fleet.bound().values()));
        assertEquals(Set.of(full), fleet.tables().keySet()); // the tables of subsets are cleared
    }

    /** All hosts of one subset drain. Its proxies would be left without any. */
    @Test
    void leavesSubsetWhoseHostsHaveGone() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(40, 0);
        for (int proxy = 0; proxy < 200; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile().pass(8000);
        Set<Integer> gone = Set.copyOf(fleet.entries(0).keySet());
        assertTrue(gone.size() < 20);
        for (int host = 40; host < 50; host++) {
            fleet.startHost(host);
        }
        gone.forEach(fleet::drainHost);
        fleet.reconcile().pass(25_000);
        for (int proxy = 0; proxy < 200; proxy++) {
            assertTrue(servingHosts(fleet, proxy) > 2);
        }
        for (int host = 40; host < 50; host++) {
            assertTrue(isInUse(fleet, host), "host " + host);
        }
    }

    /**
     * Hosts of one subset drain and others start in their place. Dealt in turn they would leave three proxies to a host
     * there and under one elsewhere.
     */
    @Test
    void dealsReplacementsToSubsetThatLostHosts() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(40, 0);
        for (int proxy = 0; proxy < 200; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile().pass(8000);
        int hit = fleet.bound().get(0);
        Set<Integer> gone = Set.copyOf(fleet.tables().get(hit).keySet());
        List<Integer> others = fleet.bound().values().stream()
                .distinct()
                .filter(table -> table != hit)
                .toList();
        gone.stream()
                .filter(host -> host % 20 >= 6)
                .forEach(fleet::drainHost); // of each subset some stay: they are dealt in turn
        fleet.reconcile().pass(3000);
        for (int host = 40; host < 46; host++) {
            fleet.startHost(host);
        }
        fleet.reconcile().pass(4000);
        long here = newHosts(fleet, hit);
        others.forEach(table -> assertTrue(here > newHosts(fleet, table), here + " and " + newHosts(fleet, table)));
    }

    @Test
    void givesNewcomersSubsetsOfEachFullTable() {
        FakeProxies fleet = new FakeProxies(
                        settings(0, FakeProxies.operation(1, FakeProxies.ALL), FakeProxies.operation(1, 1)))
                .start(40, 0);
        for (int proxy = 0; proxy < 60; proxy++) {
            fleet.join(proxy);
        }
        fleet.reconcile();
        assertEquals(60, fleet.bound().size()); // the latest bind of each is to a subset of the second table
        assertTrue(fleet.bound().values().stream()
                .allMatch(table -> fleet.tables().get(table).keySet().stream().allMatch(host -> host % 2 == 0)));
    }
}
