package linenring.discovery;

import static linenring.discovery.AgentMessages.HEAD;
import static linenring.discovery.AgentMessages.body;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

/**
 * The old address has written what is not read yet, and the selector comes to the new one's line first: bytes are handed in,
 * so that it happens every time.
 */
class UnreadAtMoveTest extends WatchFixture {
    private static final InetSocketAddress NEW_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 8501);

    private HostWatch watch;
    private InMemoryAgent old;

    private void serve(ServiceScope scope, String... hosts) {
        watch = watch(scope, known(scope, hosts), Integer.MAX_VALUE);
        old = InMemoryAgent.watched(watch);
        old.addInput(HEAD + chunk("\n"));
    }

    private EndpointSource next() {
        return watch.state().next().orElseThrow();
    }

    private InMemoryAgent move(ServiceScope scope, boolean wholeList) {
        watch.moveTo(NEW_ADDRESS, scope);
        return new InMemoryAgent(watch, next(), wholeList ? ListRequest.wholeList() : ListRequest.watchFrom(41));
    }

    @Test
    void appliesAnUnreadChangeBeforeABlankLineOfTheNewAddress() {
        serve(ServiceScope.ALL, "s-1");
        InMemoryAgent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating")));
        moved.addInput(HEAD + chunk("\n"));
        assertEquals("s-1", hosts());
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    @Test
    void undoesNothingWhereTheNewAddressSendsTheSameChangeOrALaterOne() {
        serve(ServiceScope.ALL, "s-1");
        InMemoryAgent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating", "s-2  Ready")) + chunk(list(43, false, "s-2  Gone")));
        moved.addInput(HEAD + chunk(list(42, false, "s-1  Terminating", "s-2  Ready")));
        assertEquals("s-1", hosts());
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        moved.addInput(chunk(list(44, false, "s-3  Ready")));
        assertEquals("s-1 s-3", hosts());
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    @Test
    void readsAHalfReadLineToItsEndWhereItHasArrived() {
        serve(ServiceScope.ALL, "s-1");
        InMemoryAgent moved = move(ServiceScope.ALL, false);
        String line = list(42, false, "s-1  Terminating");
        old.addInput(chunk(line.substring(0, 50)));
        old.addUnread(chunk(line.substring(50)));
        moved.addInput(HEAD + chunk("\n"));
        hosts();
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        assertFalse(old.isOpen());
    }

    @Test
    void doesNotWaitForTheRestOfALine() {
        serve(ServiceScope.ALL, "s-1");
        InMemoryAgent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating").substring(0, 50)));
        moved.addInput(HEAD + chunk("\n") + chunk(list(42, false, "s-1  Terminating")));
        hosts();
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    /** Nor is the old address dialled again. */
    @Test
    void appliesTheLastLineOfAnAnswerThatHasEnded() {
        serve(ServiceScope.ALL, "s-1");
        InMemoryAgent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating")) + "0\r\n\r\n");
        moved.addInput(HEAD + chunk("\n"));
        hosts();
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        assertFalse(old.isOpen());
        assertEquals(NEW_ADDRESS, watch.state().serving().address());
        assertTrue(moved.isOpen());
    }

    /** What was sent under the old scope comes before the new whole list, and undoes nothing of it. */
    @Test
    void appliesTheWholeListOfANewScopeAfterUnreadChanges() {
        serve(ONE, "s-1");
        InMemoryAgent moved = move(TWO, true);
        old.addUnread(chunk(list(42, false, "s-1 svc-1 Terminating", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        moved.addInput(body(list(43, true, "s-1 svc-1 Terminating", "s-2 svc-2 Terminating", "s-3 svc-1 Ready")));
        assertEquals("s-2", hosts());
        assertEquals(HostList.State.TERMINATING, state("s-2"));
        assertFalse(old.isOpen());
    }

    @Test
    void refusesAWholeListOfANewScopeThatIsOlderThanUnreadChanges() {
        serve(ONE, "s-1");
        InMemoryAgent moved = move(TWO, true);
        old.addUnread(chunk(list(43, false, "s-1 svc-1 Terminating")));
        moved.addInput(body(list(42, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
        assertEquals("s-1", hosts());
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        assertTrue(old.isOpen());
        assertFalse(moved.isOpen());
        assertTrue(logText().contains("sends version 42, which is older than 43 and changes nothing"));
    }

    /** A host that the unread line brings leaves by the new address's line. */
    @Test
    void readsChangesUnderAScopeAgainstUnreadOnesOfTheOldAddress() {
        serve(ONE, "s-1");
        InMemoryAgent moved = move(ONE, false);
        old.addUnread(chunk(list(42, false, "s-2 svc-1 Ready")));
        moved.addInput(HEAD + chunk(list(43, false, "s-2 svc-2 Ready")));
        assertEquals("s-1", hosts());
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    @Test
    void requestsHalfReadChangesUnderAScopeAgainWhereTheOldAddressSentMore() {
        serve(ONE, "s-1");
        InMemoryAgent moved = move(ONE, false);
        String line = list(43, false, "s-2 svc-2 Ready");
        moved.addInput(HEAD + chunk(line.substring(0, line.length() - 10)));
        old.addUnread(chunk(list(42, false, "s-2 svc-1 Ready")));
        moved.addInput(chunk(line.substring(line.length() - 10)));
        assertEquals("s-1 s-2", hosts());
        assertTrue(old.isOpen());
        assertFalse(moved.isOpen());
        InMemoryAgent again = new InMemoryAgent(watch, next(), ListRequest.watchFrom(41));
        again.addInput(HEAD + chunk(line));
        assertEquals("s-1", hosts());
        assertFalse(old.isOpen());
    }

    /** Discovery moves on before the address it had moved to was read: that one takes over first, as it had sent a list. */
    @Test
    void appliesUnreadChangesOfAnAddressThatIsAbandonedForAThird() {
        serve(ServiceScope.ALL, "s-1");
        InMemoryAgent second = move(ServiceScope.ALL, false);
        second.addUnread(HEAD + chunk(list(42, false, "s-1  Terminating")));
        watch.moveTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 8502), ServiceScope.ALL);
        hosts();
        assertEquals(HostList.State.TERMINATING, state("s-1"));
        assertEquals(NEW_ADDRESS, watch.state().serving().address());
        assertEquals(8502, next().address().getPort());
        assertFalse(old.isOpen());
        assertTrue(second.isOpen());
    }

    @Test
    void abandonsAnAddressForAThirdThatHasSentNothingUsable() {
        serve(ServiceScope.ALL, "s-1");
        InMemoryAgent second = move(ServiceScope.ALL, false);
        second.addUnread(HEAD + chunk(list(42, false, "s-1  Terminating").substring(0, 50)));
        watch.moveTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 8502), ServiceScope.ALL);
        assertTrue(old.isOpen());
        assertFalse(second.isOpen());
        assertEquals(8502, next().address().getPort());
    }
}
