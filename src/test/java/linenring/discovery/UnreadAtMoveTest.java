package linenring.discovery;

import static linenring.discovery.AgentMessages.RESPONSE_HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.completeListResponse;
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
 * The old address has sent bytes that are still unread when the selector reads the first line of the new address. Connections
 * in memory make this order certain.
 */
class UnreadAtMoveTest extends WatchFixture {
    private static final InetSocketAddress NEW_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 8501);

    private HostWatch watch;
    private InMemoryAgent oldAgent;

    private void serveFromOldAddress(ServiceScope scope, String... hosts) {
        watch = createWatch(scope, initialList(scope, hosts), Integer.MAX_VALUE);
        oldAgent = InMemoryAgent.connectForWatch(watch);
        oldAgent.addInput(RESPONSE_HEAD + chunk("\n"));
    }

    private EndpointSource nextSource() {
        return watch.state().nextSource().orElseThrow();
    }

    private InMemoryAgent moveTo(ServiceScope scope, boolean requestsCompleteList) {
        watch.moveTo(NEW_ADDRESS, scope);
        return new InMemoryAgent(
                watch, nextSource(), requestsCompleteList ? ListRequest.completeList() : ListRequest.watchFrom(41));
    }

    @Test
    void appliesAnUnreadDeltaBeforeABlankLineOfTheNewAddress() {
        serveFromOldAddress(ServiceScope.ALL, "s-1");
        InMemoryAgent newAgent = moveTo(ServiceScope.ALL, false);
        oldAgent.addUnreadInput(chunk(list(42, false, "s-1  Terminating")));
        newAgent.addInput(RESPONSE_HEAD + chunk("\n"));
        assertEquals("s-1", currentHosts());
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        assertFalse(oldAgent.isOpen());
        assertTrue(newAgent.isOpen());
    }

    @Test
    void keepsUnreadDeltasWhereTheNewAddressSendsTheSameOrALaterOne() {
        serveFromOldAddress(ServiceScope.ALL, "s-1");
        InMemoryAgent newAgent = moveTo(ServiceScope.ALL, false);
        oldAgent.addUnreadInput(
                chunk(list(42, false, "s-1  Terminating", "s-2  Ready")) + chunk(list(43, false, "s-2  Gone")));
        newAgent.addInput(RESPONSE_HEAD + chunk(list(42, false, "s-1  Terminating", "s-2  Ready")));
        assertEquals("s-1", currentHosts());
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        newAgent.addInput(chunk(list(44, false, "s-3  Ready")));
        assertEquals("s-1 s-3", currentHosts());
        assertFalse(oldAgent.isOpen());
        assertTrue(newAgent.isOpen());
    }

    @Test
    void readsAPartialLineToItsEndWhereItHasArrived() {
        serveFromOldAddress(ServiceScope.ALL, "s-1");
        InMemoryAgent newAgent = moveTo(ServiceScope.ALL, false);
        String line = list(42, false, "s-1  Terminating");
        oldAgent.addInput(chunk(line.substring(0, 50)));
        oldAgent.addUnreadInput(chunk(line.substring(50)));
        newAgent.addInput(RESPONSE_HEAD + chunk("\n"));
        currentHosts();
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        assertFalse(oldAgent.isOpen());
    }

    @Test
    void doesNotWaitForAnIncompleteLine() {
        serveFromOldAddress(ServiceScope.ALL, "s-1");
        InMemoryAgent newAgent = moveTo(ServiceScope.ALL, false);
        oldAgent.addUnreadInput(chunk(list(42, false, "s-1  Terminating").substring(0, 50)));
        newAgent.addInput(RESPONSE_HEAD + chunk("\n") + chunk(list(42, false, "s-1  Terminating")));
        currentHosts();
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        assertFalse(oldAgent.isOpen());
        assertTrue(newAgent.isOpen());
    }

    /** The old address has ended its response, and is not dialled again. */
    @Test
    void appliesTheLastLineOfAResponseThatHasEnded() {
        serveFromOldAddress(ServiceScope.ALL, "s-1");
        InMemoryAgent newAgent = moveTo(ServiceScope.ALL, false);
        oldAgent.addUnreadInput(chunk(list(42, false, "s-1  Terminating")) + "0\r\n\r\n");
        newAgent.addInput(RESPONSE_HEAD + chunk("\n"));
        currentHosts();
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        assertFalse(oldAgent.isOpen());
        assertEquals(NEW_ADDRESS, watch.state().servingSource().address());
        assertTrue(newAgent.isOpen());
    }

    /** Deltas under the old scope are applied before the complete list of the new scope, and do not undo the list. */
    @Test
    void appliesTheCompleteListOfANewScopeAfterUnreadDeltas() {
        serveFromOldAddress(SCOPE_ONE, "s-1");
        InMemoryAgent newAgent = moveTo(SCOPE_TWO, true);
        oldAgent.addUnreadInput(chunk(list(42, false, "s-1 svc-1 Terminating", "s-2 svc-1 Ready", "s-3 svc-1 Ready")));
        newAgent.addInput(completeListResponse(
                list(43, true, "s-1 svc-1 Terminating", "s-2 svc-2 Terminating", "s-3 svc-1 Ready")));
        assertEquals("s-2", currentHosts());
        assertEquals(HostList.State.TERMINATING, hostState("s-2"));
        assertFalse(oldAgent.isOpen());
    }

    @Test
    void rejectsACompleteListOfANewScopeThatIsOlderThanUnreadDeltas() {
        serveFromOldAddress(SCOPE_ONE, "s-1");
        InMemoryAgent newAgent = moveTo(SCOPE_TWO, true);
        oldAgent.addUnreadInput(chunk(list(43, false, "s-1 svc-1 Terminating")));
        newAgent.addInput(completeListResponse(list(42, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
        assertEquals("s-1", currentHosts());
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        assertTrue(oldAgent.isOpen());
        assertFalse(newAgent.isOpen());
        assertTrue(logText().contains("ignoring version 42, which is older than the current version 43"));
    }

    /** The unread delta adds a host that the new address's delta moves out of scope. */
    @Test
    void appliesUnreadDeltasBeforeReadingTheNewAddressUnderAScope() {
        serveFromOldAddress(SCOPE_ONE, "s-1");
        InMemoryAgent newAgent = moveTo(SCOPE_ONE, false);
        oldAgent.addUnreadInput(chunk(list(42, false, "s-2 svc-1 Ready")));
        newAgent.addInput(RESPONSE_HEAD + chunk(list(43, false, "s-2 svc-2 Ready")));
        assertEquals("s-1", currentHosts());
        assertFalse(oldAgent.isOpen());
        assertTrue(newAgent.isOpen());
    }

    @Test
    void retriesAPartlyReadDeltaUnderAScopeWhereTheOldAddressSentMore() {
        serveFromOldAddress(SCOPE_ONE, "s-1");
        InMemoryAgent newAgent = moveTo(SCOPE_ONE, false);
        String line = list(43, false, "s-2 svc-2 Ready");
        newAgent.addInput(RESPONSE_HEAD + chunk(line.substring(0, line.length() - 10)));
        oldAgent.addUnreadInput(chunk(list(42, false, "s-2 svc-1 Ready")));
        newAgent.addInput(chunk(line.substring(line.length() - 10)));
        assertEquals("s-1 s-2", currentHosts());
        assertTrue(oldAgent.isOpen());
        assertFalse(newAgent.isOpen());
        InMemoryAgent retriedAgent = new InMemoryAgent(watch, nextSource(), ListRequest.watchFrom(41));
        retriedAgent.addInput(RESPONSE_HEAD + chunk(line));
        assertEquals("s-1", currentHosts());
        assertFalse(oldAgent.isOpen());
    }

    /** Discovery moves again while a list of its earlier target is unread: the earlier target takes over first. */
    @Test
    void appliesUnreadDeltasOfAnAddressThatIsAbandonedForAThird() {
        serveFromOldAddress(ServiceScope.ALL, "s-1");
        InMemoryAgent secondAgent = moveTo(ServiceScope.ALL, false);
        secondAgent.addUnreadInput(RESPONSE_HEAD + chunk(list(42, false, "s-1  Terminating")));
        watch.moveTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 8502), ServiceScope.ALL);
        currentHosts();
        assertEquals(HostList.State.TERMINATING, hostState("s-1"));
        assertEquals(NEW_ADDRESS, watch.state().servingSource().address());
        assertEquals(8502, nextSource().address().getPort());
        assertFalse(oldAgent.isOpen());
        assertTrue(secondAgent.isOpen());
    }

    @Test
    void abandonsAnAddressThatHasSentNothingUsableForAThird() {
        serveFromOldAddress(ServiceScope.ALL, "s-1");
        InMemoryAgent secondAgent = moveTo(ServiceScope.ALL, false);
        secondAgent.addUnreadInput(
                RESPONSE_HEAD + chunk(list(42, false, "s-1  Terminating").substring(0, 50)));
        watch.moveTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), 8502), ServiceScope.ALL);
        assertTrue(oldAgent.isOpen());
        assertFalse(secondAgent.isOpen());
        assertEquals(8502, nextSource().address().getPort());
    }
}
