package linenring.discovery;

import static linenring.discovery.AgentFixture.OK;
import static linenring.discovery.AgentFixture.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import linenring.discovery.AgentFixture.Agent;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

/**
 * The old address has written what is not read yet, and the selector comes to the new one's line first: bytes are handed in,
 * so that it happens every time.
 */
class UnreadAtMoveTest extends ScopedWatchFixture {
    private static final InetSocketAddress NEW_ADDRESS = new InetSocketAddress("127.0.0.1", 8501);

    private HostWatch watch;
    private Agent old;

    private void serve(ServiceScope scope, String... hosts) {
        watch = watch(scope, known(scope, hosts), Integer.MAX_VALUE);
        old = new Agent(watch, "/", false);
        old.addInput(OK + chunk("\n"));
    }

    private Agent move(ServiceScope scope, boolean once) {
        watch.moveTo(NEW_ADDRESS, scope);
        return new Agent(watch, watch.next(), "/", once);
    }

    @Test
    void aChangeIsTakenBeforeABlankLineOfTheNewAddress() {
        serve(ServiceScope.ALL, "s-1");
        Agent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating")));
        moved.addInput(OK + chunk("\n"));
        assertEquals("s-1", hosts());
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    @Test
    void theNewAddressTellsTheSameChangeOrALaterOneAndNothingIsUndone() {
        serve(ServiceScope.ALL, "s-1");
        Agent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating", "s-2  Ready")) + chunk(list(43, false, "s-2  Gone")));
        moved.addInput(OK + chunk(list(42, false, "s-1  Terminating", "s-2  Ready")));
        assertEquals("s-1", hosts());
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        moved.addInput(chunk(list(44, false, "s-3  Ready")));
        assertEquals("s-1 s-3", hosts());
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    @Test
    void aLineThatWasHalfReadIsReadToItsEndWhereThatIsThere() {
        serve(ServiceScope.ALL, "s-1");
        Agent moved = move(ServiceScope.ALL, false);
        String line = list(42, false, "s-1  Terminating");
        old.addInput(chunk(line.substring(0, 50)));
        old.addUnread(chunk(line.substring(50)));
        moved.addInput(OK + chunk("\n"));
        hosts();
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        assertFalse(old.isOpen());
    }

    @Test
    void theRestOfALineIsNotWaitedFor() {
        serve(ServiceScope.ALL, "s-1");
        Agent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating").substring(0, 50)));
        moved.addInput(OK + chunk("\n") + chunk(list(42, false, "s-1  Terminating")));
        hosts();
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    /** Nor is the old address dialled again. */
    @Test
    void whatAnAnswerThatHasEndedSaidLastIsTaken() {
        serve(ServiceScope.ALL, "s-1");
        Agent moved = move(ServiceScope.ALL, false);
        old.addUnread(chunk(list(42, false, "s-1  Terminating")) + "0\r\n\r\n");
        moved.addInput(OK + chunk("\n"));
        hosts();
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        assertFalse(old.isOpen());
        assertEquals(NEW_ADDRESS, watch.serving().at);
        assertTrue(moved.isOpen());
    }

    /** What was said under the old scope comes before the new whole list, and undoes nothing of it. */
    @Test
    void aNewScopesWholeListComesAfterTheOldOnesChanges() {
        serve(ONE, "s-1");
        Agent moved = move(TWO, true);
        old.addUnread(chunk(list(42, false, "s-1 svc-1 Terminating", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        moved.addInput(body(list(43, true, "s-1 svc-1 Terminating", "s-2 svc-2 Terminating", "s-3 svc-1 Ready")));
        assertEquals("s-2", hosts());
        assertEquals(HostList.State.TERMINATING, hosts.get("s-2"));
        assertFalse(old.isOpen());
    }

    @Test
    void aNewScopesWholeListThatIsOlderThanThoseChangesIsRefusedAndTheOldAddressServes() {
        serve(ONE, "s-1");
        Agent moved = move(TWO, true);
        old.addUnread(chunk(list(43, false, "s-1 svc-1 Terminating")));
        moved.addInput(body(list(42, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
        assertEquals("s-1", hosts());
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        assertTrue(old.isOpen());
        assertFalse(moved.isOpen());
        assertTrue(logged.toString().contains("tells version 42, which is older than 43 and changes nothing"));
    }

    /** A host that the unread line brings leaves by the new address's line. */
    @Test
    void changesUnderAScopeAreReadAgainstWhatTheOldAddressHadWritten() {
        serve(ONE, "s-1");
        Agent moved = move(ONE, false);
        old.addUnread(chunk(list(42, false, "s-2 svc-1 Ready")));
        moved.addInput(OK + chunk(list(43, false, "s-2 svc-2 Ready")));
        assertEquals("s-1", hosts());
        assertFalse(old.isOpen());
        assertTrue(moved.isOpen());
    }

    @Test
    void changesUnderAScopeAreAskedForAgainWhereTheOldAddressToldMoreWhileTheyWereHalfRead() {
        serve(ONE, "s-1");
        Agent moved = move(ONE, false);
        String line = list(43, false, "s-2 svc-2 Ready");
        moved.addInput(OK + chunk(line.substring(0, line.length() - 10)));
        old.addUnread(chunk(list(42, false, "s-2 svc-1 Ready")));
        moved.addInput(chunk(line.substring(line.length() - 10)));
        assertEquals("s-1 s-2", hosts());
        assertTrue(old.isOpen());
        assertFalse(moved.isOpen());
        Agent again = new Agent(watch, watch.next(), "/", false);
        again.addInput(OK + chunk(line));
        assertEquals("s-1", hosts());
        assertFalse(old.isOpen());
    }

    /** Discovery moves on before the address it had moved to was heard of: that one takes over first, as it had spoken. */
    @Test
    void whatAnAddressHadWrittenThatIsGivenUpForAThirdIsTaken() {
        serve(ServiceScope.ALL, "s-1");
        Agent second = move(ServiceScope.ALL, false);
        second.addUnread(OK + chunk(list(42, false, "s-1  Terminating")));
        watch.moveTo(new InetSocketAddress("127.0.0.1", 8502), ServiceScope.ALL);
        hosts();
        assertEquals(HostList.State.TERMINATING, hosts.get("s-1"));
        assertEquals(NEW_ADDRESS, watch.serving().at);
        assertEquals(8502, watch.next().at.getPort());
        assertFalse(old.isOpen());
        assertTrue(second.isOpen());
    }

    @Test
    void anAddressThatHasWrittenNothingUsableIsGivenUpForAThird() {
        serve(ServiceScope.ALL, "s-1");
        Agent second = move(ServiceScope.ALL, false);
        second.addUnread(OK + chunk(list(42, false, "s-1  Terminating").substring(0, 50)));
        watch.moveTo(new InetSocketAddress("127.0.0.1", 8502), ServiceScope.ALL);
        assertTrue(old.isOpen());
        assertFalse(second.isOpen());
        assertEquals(8502, watch.next().at.getPort());
    }
}
