package linenring.discovery;

import static linenring.discovery.AgentFixture.OK;
import static linenring.discovery.AgentFixture.agent;
import static linenring.discovery.AgentFixture.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.IntStream;
import linenring.discovery.AgentFixture.Agent;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

/** What the watch does under a scope, with lists that are cut, spoilt, late or too large. */
class ScopedWatchTest extends ScopedWatchFixture {
    @Test
    void aListThatIsCutInAnEntryChangesNothingWherever() {
        String whole = list(42, true, "s-1 svc-1 Ready", "s-2 svc-9 Ready", "s-3 svc-1 Ready");
        for (int cut = 1; cut < whole.length() - 1; cut++) {
            HostWatch watch = watch(ONE, known(ONE, "s-7", "s-8"), Integer.MAX_VALUE);
            Agent agent = new Agent(watch, "/", false);
            agent.addInput(OK + chunk(whole.substring(0, cut)));
            agent.addInputEOF();
            assertFalse(agent.isOpen());
            assertEquals("s-7 s-8", hosts(), "cut at " + cut);
        }
    }

    @Test
    void aBodyThatIsCutIsAskedForAgainAndNotTaken() {
        HostWatch watch = watch(ONE, null, Integer.MAX_VALUE);
        String body = body(list(42, true, "s-1 svc-1 Ready"));
        Agent agent = new Agent(watch, "/", true);
        agent.addInput(body.substring(0, body.length() - 9));
        agent.addInputEOF();
        assertEquals("", hosts());
        assertEquals(List.of(20L), waits.ms);
    }

    @Test
    void whatIsInScopeComesAndWhatChangesItsServiceLeaves() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK + chunk(list(42, false, "s-2 svc-1 Ready", "s-3 svc-9 Ready", "s-4  Ready")));
        assertEquals("s-1 s-2 s-4", hosts());
        agent.addInput(chunk(list(43, false, "s-1 svc-9 Ready", "s-3 svc-1 Ready")));
        assertEquals("s-2 s-3 s-4", hosts());
        agent.addInput(chunk(list(44, false, "s-2 svc-1 Gone", "s-3  Gone", "s-9  Gone")));
        assertEquals("s-4", hosts());
        assertTrue(agent.isOpen());
    }

    @Test
    void aHostNeverHeldIsNotToldOfWhenItGoes() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
        List<HostList> told = new ArrayList<>();
        exchange.addHostListListener(told::add);
        new Agent(watch, "/", false)
                .addInput(OK + chunk(list(42, false, "s-2 svc-9 Ready", "s-3 svc-9 Gone", "s-4  Gone")));
        assertEquals(List.of(), told.get(0).entries());
        assertEquals(42, told.get(0).version());
    }

    @Test
    void aServiceThatIsEmptiedByChangesAndRefilledFollowsThem() {
        HostWatch watch = watch(ONE, known(ONE, "s-1", "s-2"), Integer.MAX_VALUE);
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK + chunk(list(42, false, "s-1 svc-1 Gone", "s-2 svc-1 Gone")));
        assertEquals("", hosts());
        agent.addInput(chunk(list(43, true, "s-9 svc-9 Ready"))); // it is known to be empty: nothing is lost by this
        assertTrue(agent.isOpen());
        agent.addInput(chunk(list(44, false, "s-3 svc-1 Ready")));
        assertEquals("s-3", hosts());
    }

    /** The scope's words may be wrong, or the catalogue's: neither may leave all proxies without a host. */
    @Test
    void aWholeListWithNobodyInScopeLeavesTheLastOneInForceUntilSomebodyIs() {
        HostWatch watch = watch(ONE, known(ONE, "s-1", "s-2"), Integer.MAX_VALUE);
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK + chunk(list(42, true, "s-1 svc-9 Ready", "s-2 svc-9 Ready")));
        assertFalse(agent.isOpen());
        assertEquals("s-1 s-2", hosts());
        assertEquals(List.of(5000L), waits.ms);
        assertTrue(logged.toString()
                .contains("ended: scope names none of the 2 hosts listed; the list before it stays in force"));
        Agent changes = new Agent(watch, "/", false); // a list that is not held can't be changed
        changes.addInput(OK + chunk(list(43, false, "s-3 svc-1 Ready")));
        assertFalse(changes.isOpen());
        new Agent(watch, "/", true).addInput(body(list(43, true, "s-3 svc-1 Ready", "s-1 svc-9 Ready")));
        assertEquals("s-3", hosts());
    }

    @Test
    void aStartWhoseScopeNamesNobodyTakesTheListAndHearsOfWhoComes() {
        HostWatch watch = watch(ONE, null, Integer.MAX_VALUE);
        List<HostList> told = new ArrayList<>();
        exchange.addHostListListener(told::add);
        new Agent(watch, "/", true).addInput(body(list(42, true, "s-1 svc-9 Ready")));
        assertEquals(42, told.get(0).version());
        assertTrue(logged.toString().contains("lists 0 hosts in scope and 1 outside"));
        new Agent(watch, "/", false).addInput(OK + chunk(list(43, false, "s-2 svc-1 Ready")));
        assertEquals("s-2", hosts());
    }

    @Test
    void anHoursChangesInOneWholeListAreTakenAtOnce() {
        String[] before = IntStream.range(0, 2000).mapToObj(i -> "s-" + i).toArray(String[]::new);
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
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK + chunk(list(90_000, true, entries.toArray(String[]::new))));
        assertEquals(String.join(" ", after), hosts());
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        agent.addInput(chunk(list(90_001, false, "s-1 svc-1 Gone")));
        assertFalse(hosts().contains("s-1 "));
    }

    @Test
    void aZoneThatReturnsInOneListOfChangesIsBackWhole() {
        HostWatch watch = watch(ONE, known(ONE, "s-0"), Integer.MAX_VALUE);
        Agent agent = new Agent(watch, "/", false);
        String[] gone =
                IntStream.range(0, 300).mapToObj(i -> "s-" + i + "  Gone").toArray(String[]::new);
        String[] back = IntStream.range(0, 300)
                .mapToObj(i -> "s-" + i + (i % 2 == 0 ? " svc-1 Ready" : " svc-9 Ready"))
                .toArray(String[]::new);
        agent.addInput(OK + chunk(list(42, false, back)));
        String all = hosts();
        assertEquals(150, all.split(" ").length);
        agent.addInput(chunk(list(43, false, gone)));
        assertEquals("", hosts());
        agent.addInput(chunk(list(44, false, back)));
        assertEquals(all, hosts());
    }

    @Test
    void aListWithoutRoomEndsTheAttemptAndTheOneBeforeItStays() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), 2);
        new Agent(watch, "/", false)
                .addInput(OK + chunk(list(42, true, "s-1 svc-1 Ready", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        assertEquals("s-1", hosts());
        assertEquals(List.of(5000L), waits.ms);
        assertEquals(List.of(), ends);
        assertTrue(logged.toString().contains("lists over 2 hosts, which is more than fits the heap; the list before"));
    }

    @Test
    void aListWithoutRoomWhereNoneIsHeldEndsTheService() {
        HostWatch watch = watch(ServiceScope.ALL, null, 2);
        new Agent(watch, "/", true)
                .addInput(body(list(42, true, "s-1 svc-1 Ready", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        assertEquals(List.of("discovery lists over 2 hosts, which is more than fits the heap"), ends);
    }

    @Test
    void aLongListCountsAsAWordByItsEntriesAndADrippingOneDoesNot() {
        HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK + chunk("{\"version\":42,\"full\":true,\"servers\":["));
        String thousand = (entry("o-1 svc-9 Ready") + ",").repeat(1000);
        for (int i = 0; i < 5; i++) {
            nanos.addAndGet(5_000_000_000L);
            agent.addInput(chunk(thousand));
            assertTrue(agent.isOpen());
        }
        nanos.addAndGet(6_000_000_001L);
        agent.addInput(chunk(entry("o-1 svc-9 Ready") + ","));
        assertFalse(agent.isOpen());
        assertTrue(logged.toString().contains("no line has come to its end for 6000 ms"));
    }

    /** Of two sources the older is taken while the newer one's line is half read: who came by it may leave on that line. */
    @Test
    void changesThatWereBegunBeforeAnotherListWasTakenAreAskedForAgain() {
        for (String leaves : List.of("s-2 svc-9 Ready", "s-2  Gone")) {
            HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
            Agent late = new Agent(watch, "/", false), other = new Agent(watch, "/", false);
            String line = list(43, false, leaves);
            late.addInput(OK + chunk(line.substring(0, line.length() - 3)));
            other.addInput(OK + chunk(list(42, false, "s-2 svc-1 Ready")));
            assertEquals("s-1 s-2", hosts());
            late.addInput(chunk(line.substring(line.length() - 3)));
            assertFalse(late.isOpen());
            assertTrue(logged.toString().contains("another list came while this one was read"));
            new Agent(watch, "/", false).addInput(OK + chunk(line));
            assertEquals("s-1", hosts());
        }
    }

    @Test
    void aBodyOfBlanksTellsNothing() {
        HostWatch watch = watch(ONE, null, Integer.MAX_VALUE);
        new Agent(watch, "/", true).addInput(body("\n \r\n\t"));
        assertEquals(List.of(20L), waits.ms);
        assertTrue(logged.toString().contains("had answered and ended"));
    }

    /** Such a list takes nobody out: who was held before must be heard of all the same when it drains or goes. */
    @Test
    void whoStaysBeyondAWholeListWithASpoiltEntryLeavesByItsOwnChange() {
        for (ServiceScope before : List.of(ONE, ServiceScope.ALL)) {
            HostWatch watch = watch(ONE, known(before, "s-1", "s-2", "s-3"), Integer.MAX_VALUE);
            new Agent(watch, "/", true).addInput(body(list(42, true, "s-1 svc-1 Ready", "s-4 svc-1 Asleep")));
            assertEquals("s-1 s-2 s-3", hosts());
            Agent agent = new Agent(watch, "/", false);
            agent.addInput(OK + chunk(list(43, false, "s-2 svc-9 Terminating", "s-3  Gone")));
            assertEquals("s-1", hosts());
            agent.addInput(chunk(list(44, true, "s-5 svc-1 Ready"))); // and one without takes out the rest
            assertEquals("s-5", hosts());
        }
    }
}
