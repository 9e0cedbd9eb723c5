package linenring.discovery;

import static linenring.discovery.AgentMessages.RESPONSE_HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.completeListResponse;
import static linenring.discovery.AgentMessages.entry;
import static linenring.discovery.AgentMessages.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.IntStream;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

/** A watch under a scope, with lists that are cut off, invalid, slow or too large. */
class ScopedWatchTest extends WatchFixture {
    @Test
    void ignoresAListThatEndsWithinAnEntry() {
        String line = list(42, true, "s-1 svc-1 Ready", "s-2 svc-9 Ready", "s-3 svc-1 Ready");
        for (int cutAt = 1; cutAt < line.length() - 1; cutAt++) {
            HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-7", "s-8"), Integer.MAX_VALUE);
            InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
            agent.addInput(RESPONSE_HEAD + chunk(line.substring(0, cutAt)));
            agent.addInputEOF();
            assertFalse(agent.isOpen());
            assertEquals("s-7 s-8", currentHosts(), "cut at " + cutAt);
        }
    }

    @Test
    void retriesWhereACompleteListIsCutOff() {
        HostWatch watch = createWatch(SCOPE_ONE, null, Integer.MAX_VALUE);
        String response = completeListResponse(list(42, true, "s-1 svc-1 Ready"));
        InMemoryAgent agent = InMemoryAgent.connectForCompleteList(watch);
        agent.addInput(response.substring(0, response.length() - 9));
        agent.addInputEOF();
        assertEquals("", currentHosts());
        assertEquals(List.of(20L), backoffDelaysMs());
    }

    @Test
    void addsHostsInScopeAndRemovesThoseThatChangeTheirService() {
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-1"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD + chunk(list(42, false, "s-2 svc-1 Ready", "s-3 svc-9 Ready", "s-4  Ready")));
        assertEquals("s-1 s-2 s-4", currentHosts());
        agent.addInput(chunk(list(43, false, "s-1 svc-9 Ready", "s-3 svc-1 Ready")));
        assertEquals("s-2 s-3 s-4", currentHosts());
        agent.addInput(chunk(list(44, false, "s-2 svc-1 Gone", "s-3  Gone", "s-9  Gone")));
        assertEquals("s-4", currentHosts());
        assertTrue(agent.isOpen());
    }

    @Test
    void ignoresTheRemovalOfAnUnknownHost() {
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-1"), Integer.MAX_VALUE);
        List<HostList> delivered = new ArrayList<>();
        addHostListListener(delivered::add);
        InMemoryAgent.connectForWatch(watch)
                .addInput(RESPONSE_HEAD + chunk(list(42, false, "s-2 svc-9 Ready", "s-3 svc-9 Gone", "s-4  Gone")));
        assertEquals(List.of(), delivered.get(0).entries());
        assertEquals(42, delivered.get(0).version());
    }

    @Test
    void appliesDeltasThatEmptyAndRefillAService() {
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-1", "s-2"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD + chunk(list(42, false, "s-1 svc-1 Gone", "s-2 svc-1 Gone")));
        assertEquals("", currentHosts());
        agent.addInput(chunk(list(43, true, "s-9 svc-9 Ready"))); // accepted, as the current list is empty anyway
        assertTrue(agent.isOpen());
        agent.addInput(chunk(list(44, false, "s-3 svc-1 Ready")));
        assertEquals("s-3", currentHosts());
    }

    /** A wrong service name in the settings or in the catalogue must not leave all proxies without a host. */
    @Test
    void keepsTheCurrentListWhereACompleteListHasNoHostInScope() {
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-1", "s-2"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD + chunk(list(42, true, "s-1 svc-9 Ready", "s-2 svc-9 Ready")));
        assertFalse(agent.isOpen());
        assertEquals("s-1 s-2", currentHosts());
        assertEquals(List.of(5000L), backoffDelaysMs());
        assertTrue(
                logText()
                        .contains(
                                "failed (response started): no host in scope among the 2 listed hosts; the previous list stays in force"));
        InMemoryAgent deltaAgent = InMemoryAgent.connectForWatch(watch); // a delta of the list that was rejected
        deltaAgent.addInput(RESPONSE_HEAD + chunk(list(43, false, "s-3 svc-1 Ready")));
        assertFalse(deltaAgent.isOpen());
        InMemoryAgent.connectForCompleteList(watch)
                .addInput(completeListResponse(list(43, true, "s-3 svc-1 Ready", "s-1 svc-9 Ready")));
        assertEquals("s-3", currentHosts());
    }

    @Test
    void startsWithNoHostInScopeAndAppliesDeltas() {
        HostWatch watch = createWatch(SCOPE_ONE, null, Integer.MAX_VALUE);
        List<HostList> delivered = new ArrayList<>();
        addHostListListener(delivered::add);
        InMemoryAgent.connectForCompleteList(watch).addInput(completeListResponse(list(42, true, "s-1 svc-9 Ready")));
        assertEquals(42, delivered.get(0).version());
        assertTrue(logText().contains("lists 0 hosts in scope and 1 outside"));
        InMemoryAgent.connectForWatch(watch).addInput(RESPONSE_HEAD + chunk(list(43, false, "s-2 svc-1 Ready")));
        assertEquals("s-2", currentHosts());
    }

    @Test
    void appliesManyChangesInOneCompleteList() {
        String[] initialScope =
                IntStream.range(0, 2000).mapToObj(index -> "s-" + index).toArray(String[]::new);
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, initialScope), Integer.MAX_VALUE);
        List<String> entries =
                new ArrayList<>(); // a third of the hosts is gone, a third drains, and new hosts are added
        TreeSet<String> remainingHosts = new TreeSet<>();
        for (int i = 0; i < 3000; i++) {
            if (i % 3 != 0) {
                entries.add("s-" + i + " svc-1 " + (i % 3 == 1 ? "Terminating" : "Ready"));
                remainingHosts.add("s-" + i);
            }
            entries.add("o-" + i + " svc-9 Ready");
        }
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD + chunk(list(90_000, true, entries.toArray(String[]::new))));
        assertEquals(String.join(" ", remainingHosts), currentHosts());
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        agent.addInput(chunk(list(90_001, false, "s-1 svc-1 Gone")));
        assertFalse(currentHosts().contains("s-1 "));
    }

    @Test
    void restoresAZoneThatReturnsInOneDelta() {
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-0"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        String[] removals = IntStream.range(0, 300)
                .mapToObj(index -> "s-" + index + "  Gone")
                .toArray(String[]::new);
        String[] additions = IntStream.range(0, 300)
                .mapToObj(index -> "s-" + index + (index % 2 == 0 ? " svc-1 Ready" : " svc-9 Ready"))
                .toArray(String[]::new);
        agent.addInput(RESPONSE_HEAD + chunk(list(42, false, additions)));
        String hostsBefore = currentHosts();
        assertEquals(150, hostsBefore.split(" ", -1).length);
        agent.addInput(chunk(list(43, false, removals)));
        assertEquals("", currentHosts());
        agent.addInput(chunk(list(44, false, additions)));
        assertEquals(hostsBefore, currentHosts());
    }

    @Test
    void keepsTheCurrentListWhereTheNextExceedsTheHostCapacity() {
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-1"), 2);
        InMemoryAgent.connectForWatch(watch)
                .addInput(
                        RESPONSE_HEAD + chunk(list(42, true, "s-1 svc-1 Ready", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        assertEquals("s-1", currentHosts());
        assertEquals(List.of(5000L), backoffDelaysMs());
        assertEquals(List.of(), takeCapacityFailures());
        assertTrue(logText().contains("lists over 2 hosts, which is more than fits the heap; the previous list"));
    }

    @Test
    void reportsAFirstListThatExceedsTheHostCapacity() {
        HostWatch watch = createWatch(ServiceScope.ALL, null, 2);
        InMemoryAgent.connectForCompleteList(watch)
                .addInput(
                        completeListResponse(list(42, true, "s-1 svc-1 Ready", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        assertEquals(List.of("discovery lists over 2 hosts, which is more than fits the heap"), takeCapacityFailures());
    }

    @Test
    void countsEntriesOfALongListButNotSingleBytesAsProgress() {
        HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-1"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD + chunk("{\"version\":42,\"full\":true,\"servers\":["));
        String thousandEntries = (entry("o-1 svc-9 Ready") + ",").repeat(1000);
        for (int i = 0; i < 5; i++) {
            advanceNanos(5_000_000_000L);
            agent.addInput(chunk(thousandEntries));
            assertTrue(agent.isOpen());
        }
        advanceNanos(6_000_000_001L);
        agent.addInput(chunk(entry("o-1 svc-9 Ready") + ","));
        assertFalse(agent.isOpen());
        assertTrue(logText().contains("no line was completed for 6000 ms"));
    }

    /** A list is applied while a newer delta is half read, and the delta may remove a host that the list has added. */
    @Test
    void retriesADeltaThatBeganBeforeAnotherListWasApplied() {
        for (String removal : List.of("s-2 svc-9 Ready", "s-2  Gone")) {
            HostWatch watch = createWatch(SCOPE_ONE, initialList(SCOPE_ONE, "s-1"), Integer.MAX_VALUE);
            InMemoryAgent slowAgent = InMemoryAgent.connectForWatch(watch);
            InMemoryAgent otherAgent = InMemoryAgent.connectForWatch(watch);
            String line = list(43, false, removal);
            slowAgent.addInput(RESPONSE_HEAD + chunk(line.substring(0, line.length() - 3)));
            otherAgent.addInput(RESPONSE_HEAD + chunk(list(42, false, "s-2 svc-1 Ready")));
            assertEquals("s-1 s-2", currentHosts());
            slowAgent.addInput(chunk(line.substring(line.length() - 3)));
            assertFalse(slowAgent.isOpen());
            assertTrue(logText().contains("another list was applied while this delta was read"));
            InMemoryAgent.connectForWatch(watch).addInput(RESPONSE_HEAD + chunk(line));
            assertEquals("s-1", currentHosts());
        }
    }

    @Test
    void rejectsABlankBodyAsCompleteList() {
        HostWatch watch = createWatch(SCOPE_ONE, null, Integer.MAX_VALUE);
        InMemoryAgent.connectForCompleteList(watch).addInput(completeListResponse("\n \r\n\t"));
        assertEquals(List.of(20L), backoffDelaysMs());
        assertTrue(logText().contains("failed (response started): "));
    }

    /** A list with an invalid entry removes no host, and later deltas for the hosts that it keeps must be applied. */
    @Test
    void removesAHostKeptByAnInvalidEntryOnceADeltaNamesIt() {
        for (ServiceScope initialScope : List.of(SCOPE_ONE, ServiceScope.ALL)) {
            HostWatch watch = createWatch(SCOPE_ONE, initialList(initialScope, "s-1", "s-2", "s-3"), Integer.MAX_VALUE);
            InMemoryAgent.connectForCompleteList(watch)
                    .addInput(completeListResponse(list(42, true, "s-1 svc-1 Ready", "s-4 svc-1 Asleep")));
            assertEquals("s-1 s-2 s-3", currentHosts());
            InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
            agent.addInput(RESPONSE_HEAD + chunk(list(43, false, "s-2 svc-9 Terminating", "s-3  Gone")));
            assertEquals("s-1", currentHosts());
            agent.addInput(chunk(list(44, true, "s-5 svc-1 Ready"))); // a valid list removes all unlisted hosts
            assertEquals("s-5", currentHosts());
        }
    }
}
