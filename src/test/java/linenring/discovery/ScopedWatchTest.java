package linenring.discovery;

import static linenring.discovery.AgentMessages.HEAD;
import static linenring.discovery.AgentMessages.body;
import static linenring.discovery.AgentMessages.chunk;
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

/** What the watch does under a scope, with lists that are cut, invalid, late or too large. */
class ScopedWatchTest extends WatchFixture {
    @Test
    void ignoresAListThatEndsWithinAnEntry() {
        String whole = list(42, true, "s-1 svc-1 Ready", "s-2 svc-9 Ready", "s-3 svc-1 Ready");
        for (int cut = 1; cut < whole.length() - 1; cut++) {
            HostWatch watch = watch(ONE, known(ONE, "s-7", "s-8"), Integer.MAX_VALUE);
            InMemoryAgent agent = InMemoryAgent.watched(watch);
            agent.addInput(HEAD + chunk(whole.substring(0, cut)));
            agent.addInputEOF();
            assertFalse(agent.isOpen());
            assertEquals("s-7 s-8", hosts(), "cut at " + cut);
        }
    }

    @Test
    void requestsABodyAgainThatEndsEarly() {
        HostWatch watch = watch(ONE, null, Integer.MAX_VALUE);
        String body = body(list(42, true, "s-1 svc-1 Ready"));
        InMemoryAgent agent = InMemoryAgent.askedForWholeList(watch);
        agent.addInput(body.substring(0, body.length() - 9));
        agent.addInputEOF();
        assertEquals("", hosts());
        assertEquals(List.of(20L), delaysMs());
    }

    @Test
    void addsHostsInScopeAndRemovesThoseThatChangeTheirService() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD + chunk(list(42, false, "s-2 svc-1 Ready", "s-3 svc-9 Ready", "s-4  Ready")));
        assertEquals("s-1 s-2 s-4", hosts());
        agent.addInput(chunk(list(43, false, "s-1 svc-9 Ready", "s-3 svc-1 Ready")));
        assertEquals("s-2 s-3 s-4", hosts());
        agent.addInput(chunk(list(44, false, "s-2 svc-1 Gone", "s-3  Gone", "s-9  Gone")));
        assertEquals("s-4", hosts());
        assertTrue(agent.isOpen());
    }

    @Test
    void ignoresTheRemovalOfAHostNeverHeld() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
        List<HostList> delivered = new ArrayList<>();
        follow(delivered::add);
        InMemoryAgent.watched(watch)
                .addInput(HEAD + chunk(list(42, false, "s-2 svc-9 Ready", "s-3 svc-9 Gone", "s-4  Gone")));
        assertEquals(List.of(), delivered.get(0).entries());
        assertEquals(42, delivered.get(0).version());
    }

    @Test
    void followsChangesThatEmptyAndRefillAService() {
        HostWatch watch = watch(ONE, known(ONE, "s-1", "s-2"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD + chunk(list(42, false, "s-1 svc-1 Gone", "s-2 svc-1 Gone")));
        assertEquals("", hosts());
        agent.addInput(chunk(list(43, true, "s-9 svc-9 Ready"))); // it is known to be empty: nothing is lost by this
        assertTrue(agent.isOpen());
        agent.addInput(chunk(list(44, false, "s-3 svc-1 Ready")));
        assertEquals("s-3", hosts());
    }

    /** The scope's names may be wrong, or the catalogue's: neither may leave all proxies without a host. */
    @Test
    void keepsTheHeldListWhereAWholeListHasNobodyInScope() {
        HostWatch watch = watch(ONE, known(ONE, "s-1", "s-2"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD + chunk(list(42, true, "s-1 svc-9 Ready", "s-2 svc-9 Ready")));
        assertFalse(agent.isOpen());
        assertEquals("s-1 s-2", hosts());
        assertEquals(List.of(5000L), delaysMs());
        assertTrue(
                logText()
                        .contains(
                                "failed (response started): scope names none of the 2 hosts listed; the list before it stays in force"));
        InMemoryAgent changes = InMemoryAgent.watched(watch); // changes of a list that is not held
        changes.addInput(HEAD + chunk(list(43, false, "s-3 svc-1 Ready")));
        assertFalse(changes.isOpen());
        InMemoryAgent.askedForWholeList(watch).addInput(body(list(43, true, "s-3 svc-1 Ready", "s-1 svc-9 Ready")));
        assertEquals("s-3", hosts());
    }

    @Test
    void startsWithNobodyInScopeAndFollowsChanges() {
        HostWatch watch = watch(ONE, null, Integer.MAX_VALUE);
        List<HostList> delivered = new ArrayList<>();
        follow(delivered::add);
        InMemoryAgent.askedForWholeList(watch).addInput(body(list(42, true, "s-1 svc-9 Ready")));
        assertEquals(42, delivered.get(0).version());
        assertTrue(logText().contains("lists 0 hosts in scope and 1 outside"));
        InMemoryAgent.watched(watch).addInput(HEAD + chunk(list(43, false, "s-2 svc-1 Ready")));
        assertEquals("s-2", hosts());
    }

    @Test
    void appliesManyChangesInOneWholeListAtOnce() {
        String[] before =
                IntStream.range(0, 2000).mapToObj(index -> "s-" + index).toArray(String[]::new);
        HostWatch watch = watch(ONE, known(ONE, before), Integer.MAX_VALUE);
        List<String> entries = new ArrayList<>(); // a third has gone, a third drains, as many are new
        TreeSet<String> after = new TreeSet<>();
        for (int i = 0; i < 3000; i++) {
            if (i % 3 != 0) {
                entries.add("s-" + i + " svc-1 " + (i % 3 == 1 ? "Terminating" : "Ready"));
                after.add("s-" + i);
            }
            entries.add("o-" + i + " svc-9 Ready");
        }
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD + chunk(list(90_000, true, entries.toArray(String[]::new))));
        assertEquals(String.join(" ", after), hosts());
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        agent.addInput(chunk(list(90_001, false, "s-1 svc-1 Gone")));
        assertFalse(hosts().contains("s-1 "));
    }

    @Test
    void restoresAZoneThatReturnsInOneListOfChanges() {
        HostWatch watch = watch(ONE, known(ONE, "s-0"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        String[] gone = IntStream.range(0, 300)
                .mapToObj(index -> "s-" + index + "  Gone")
                .toArray(String[]::new);
        String[] back = IntStream.range(0, 300)
                .mapToObj(index -> "s-" + index + (index % 2 == 0 ? " svc-1 Ready" : " svc-9 Ready"))
                .toArray(String[]::new);
        agent.addInput(HEAD + chunk(list(42, false, back)));
        String all = hosts();
        assertEquals(150, all.split(" ", -1).length);
        agent.addInput(chunk(list(43, false, gone)));
        assertEquals("", hosts());
        agent.addInput(chunk(list(44, false, back)));
        assertEquals(all, hosts());
    }

    @Test
    void keepsTheHeldListWhereTheNextDoesNotFitTheMemory() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), 2);
        InMemoryAgent.watched(watch)
                .addInput(HEAD + chunk(list(42, true, "s-1 svc-1 Ready", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        assertEquals("s-1", hosts());
        assertEquals(List.of(5000L), delaysMs());
        assertEquals(List.of(), drainCapacityFailures());
        assertTrue(logText().contains("lists over 2 hosts, which is more than fits the heap; the list before"));
    }

    @Test
    void reportsAListThatDoesNotFitTheMemoryWhereNoneIsHeld() {
        HostWatch watch = watch(ServiceScope.ALL, null, 2);
        InMemoryAgent.askedForWholeList(watch)
                .addInput(body(list(42, true, "s-1 svc-1 Ready", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        assertEquals(
                List.of("discovery lists over 2 hosts, which is more than fits the heap"), drainCapacityFailures());
    }

    @Test
    void countsEntriesOfALongListAsProgressAndSingleBytesNot() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD + chunk("{\"version\":42,\"full\":true,\"servers\":["));
        String thousand = (entry("o-1 svc-9 Ready") + ",").repeat(1000);
        for (int i = 0; i < 5; i++) {
            advanceNanos(5_000_000_000L);
            agent.addInput(chunk(thousand));
            assertTrue(agent.isOpen());
        }
        advanceNanos(6_000_000_001L);
        agent.addInput(chunk(entry("o-1 svc-9 Ready") + ","));
        assertFalse(agent.isOpen());
        assertTrue(logText().contains("no line has come to its end for 6000 ms"));
    }

    /** Of two sources the older one's list is applied while the newer one's line is half read: a host that came by it may leave on that line. */
    @Test
    void requestsChangesAgainThatBeganBeforeAnotherListWasApplied() {
        for (String leaves : List.of("s-2 svc-9 Ready", "s-2  Gone")) {
            HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
            InMemoryAgent late = InMemoryAgent.watched(watch);
            InMemoryAgent other = InMemoryAgent.watched(watch);
            String line = list(43, false, leaves);
            late.addInput(HEAD + chunk(line.substring(0, line.length() - 3)));
            other.addInput(HEAD + chunk(list(42, false, "s-2 svc-1 Ready")));
            assertEquals("s-1 s-2", hosts());
            late.addInput(chunk(line.substring(line.length() - 3)));
            assertFalse(late.isOpen());
            assertTrue(logText().contains("another list came while this one was read"));
            InMemoryAgent.watched(watch).addInput(HEAD + chunk(line));
            assertEquals("s-1", hosts());
        }
    }

    @Test
    void treatsABodyOfBlanksAsNoList() {
        HostWatch watch = watch(ONE, null, Integer.MAX_VALUE);
        InMemoryAgent.askedForWholeList(watch).addInput(body("\n \r\n\t"));
        assertEquals(List.of(20L), delaysMs());
        assertTrue(logText().contains("failed (response started): "));
    }

    /** Such a list removes nobody: the hosts held before must still be followed when they drain or go. */
    @Test
    void removesAHostKeptByAnInvalidEntryOnceItsOwnChangeComes() {
        for (ServiceScope before : List.of(ONE, ServiceScope.ALL)) {
            HostWatch watch = watch(ONE, known(before, "s-1", "s-2", "s-3"), Integer.MAX_VALUE);
            InMemoryAgent.askedForWholeList(watch)
                    .addInput(body(list(42, true, "s-1 svc-1 Ready", "s-4 svc-1 Asleep")));
            assertEquals("s-1 s-2 s-3", hosts());
            InMemoryAgent agent = InMemoryAgent.watched(watch);
            agent.addInput(HEAD + chunk(list(43, false, "s-2 svc-9 Terminating", "s-3  Gone")));
            assertEquals("s-1", hosts());
            agent.addInput(chunk(list(44, true, "s-5 svc-1 Ready"))); // and one without removes the rest
            assertEquals("s-5", hosts());
        }
    }
}
