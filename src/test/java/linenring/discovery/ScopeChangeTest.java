package linenring.discovery;

import static linenring.discovery.AgentMessages.RESPONSE_HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.completeListResponse;
import static linenring.discovery.AgentMessages.list;
import static linenring.discovery.AgentSocket.accept;
import static linenring.discovery.AgentSocket.acceptCompleteListRequest;
import static linenring.discovery.AgentSocket.address;
import static linenring.discovery.AgentSocket.listen;
import static linenring.discovery.AgentSocket.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import linenring.protocol.HostList;
import linenring.protocol.InvalidEntries;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

/** Changes of the scope during a watch. */
class ScopeChangeTest extends WatchFixture {
    private static final Optional<VersionTracker.Rejection> OLDER_UNDER_OTHER_SCOPE =
            Optional.of(VersionTracker.Rejection.OLDER_UNDER_OTHER_SCOPE);

    @Test
    void keepsTheOldHostsUntilACompleteListOfTheNewScopeArrives() throws Exception {
        try (ServerSocket agent = listen()) {
            HostWatch watch = openWatch(agent, SCOPE_ONE, initialList(SCOPE_ONE, "s-1"));
            try (Socket oldConnection = accept(agent, 41)) {
                write(oldConnection, RESPONSE_HEAD + chunk("\n"));
                watch.moveTo(address(agent), SCOPE_TWO);
                try (Socket newConnection = acceptCompleteListRequest(agent)) {
                    write(oldConnection, chunk(list(42, false, "s-3 svc-1 Ready", "s-4 svc-2 Ready")));
                    awaitHosts("s-1 s-3"); // the old scope is still in force
                    write(
                            newConnection,
                            completeListResponse(
                                    list(42, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-4 svc-2 Ready")));
                    awaitHosts("s-2 s-4");
                    assertEquals(-1, oldConnection.getInputStream().read());
                }
            }
            try (Socket watchConnection = accept(agent, 42)) {
                write(watchConnection, RESPONSE_HEAD + chunk(list(43, false, "s-1 svc-2 Ready", "s-2 svc-1 Ready")));
                awaitHosts("s-1 s-4");
            }
        }
    }

    @Test
    void keepsTheOldScopeWhereTheNewOneMatchesNoHost() throws Exception {
        try (ServerSocket agent = listen()) {
            HostWatch watch = openWatch(agent, SCOPE_ONE, initialList(SCOPE_ONE, "s-1"));
            try (Socket oldConnection = accept(agent, 41)) {
                write(oldConnection, RESPONSE_HEAD + chunk("\n"));
                watch.moveTo(address(agent), SCOPE_WITHOUT_HOSTS);
                try (Socket newConnection = acceptCompleteListRequest(agent)) {
                    write(newConnection, completeListResponse(list(41, true, "s-1 svc-1 Ready")));
                    assertEquals(-1, newConnection.getInputStream().read());
                }
                awaitLog(
                        "no host in scope among the 1 listed hosts; the previous list stays in force; retrying in 5000 ms");
                write(oldConnection, chunk(list(42, false, "s-2 svc-1 Ready")));
                awaitHosts("s-1 s-2");
                watch.moveTo(address(agent), SCOPE_ONE); // returns to the old scope without losing a delta
                write(oldConnection, chunk(list(43, false, "s-1 svc-1 Gone")));
                awaitHosts("s-2");
            }
        }
    }

    @Test
    void keepsTheOldHostsWhileDiscoveryIsDownAndFollowsTheLastOfTwoReloads() throws Exception {
        try (ServerSocket agent = listen()) {
            ServerSocket stoppedAgent = listen();
            InetSocketAddress stoppedAddress = address(stoppedAgent);
            stoppedAgent.close();
            HostWatch watch = openWatch(agent, SCOPE_ONE, initialList(SCOPE_ONE, "s-1"));
            try (Socket oldConnection = accept(agent, 41)) {
                write(oldConnection, RESPONSE_HEAD + chunk("\n"));
                watch.moveTo(
                        stoppedAddress,
                        SCOPE_WITHOUT_HOSTS); // changes address and scope at once; the address refuses connections
                awaitLog("attempt at 127.0.0.1:" + stoppedAddress.getPort() + " failed (connecting): ");
                assertEquals("s-1", currentHosts());
                watch.moveTo(address(agent), ServiceScope.ALL);
                watch.moveTo(address(agent), SCOPE_TWO);
                watch.moveTo(address(agent), SCOPE_TWO); // a repeated move changes nothing
                Socket newConnection = acceptOpenCompleteListRequest(agent);
                write(newConnection, completeListResponse(list(41, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
                awaitHosts("s-2");
                newConnection.close();
            }
        }
    }

    /** Skips requests of sources that were abandoned after they had sent their request. */
    private static Socket acceptOpenCompleteListRequest(ServerSocket agent) throws IOException {
        while (true) {
            Socket socket = agent.accept();
            socket.setSoTimeout(20_000);
            byte[] request = new byte[512];
            int count = socket.getInputStream().read(request);
            if (count > 0) {
                String head = new String(request, 0, count, StandardCharsets.US_ASCII);
                assertTrue(head.startsWith("GET /catalog/members HTTP/1.1"), head);
                if (staysOpen(socket)) {
                    return socket;
                }
            }
        }
    }

    private static boolean staysOpen(Socket socket) throws IOException {
        socket.setSoTimeout(300);
        try {
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException stillOpen) {
            socket.setSoTimeout(20_000);
            return true;
        } catch (IOException reset) {
            return false;
        }
    }

    @Test
    void movesToAnotherAddressAndScopeWithOneCompleteList() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = openWatch(oldAgent, ServiceScope.ALL, initialList(ServiceScope.ALL, "s-1", "s-2", "s-3"));
            try (Socket oldConnection = accept(oldAgent, 41)) {
                write(oldConnection, RESPONSE_HEAD + chunk("\n"));
                watch.moveTo(address(newAgent), SCOPE_TWO);
                try (Socket newConnection = acceptCompleteListRequest(newAgent)) {
                    write(
                            newConnection,
                            completeListResponse(list(45, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-3  Ready")));
                    awaitHosts("s-2 s-3");
                    assertEquals(-1, oldConnection.getInputStream().read());
                }
            }
            try (Socket watchConnection = accept(newAgent, 45)) {
                watch.moveTo(address(newAgent), ServiceScope.ALL); // returns to the scope of all services
                try (Socket unscopedConnection = acceptCompleteListRequest(newAgent)) {
                    write(
                            unscopedConnection,
                            completeListResponse(list(45, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-3  Ready")));
                    awaitHosts("s-1 s-2 s-3");
                    assertEquals(-1, watchConnection.getInputStream().read());
                }
            }
        }
    }

    @Test
    void keepsAListOfAnotherScopeUntilACompleteListArrives() {
        HostWatch watch = createWatch(
                SCOPE_TWO,
                initialList(SCOPE_ONE, "s-1"),
                Integer.MAX_VALUE); // as after an upgrade with a new settings file
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD + chunk(list(42, false, "s-2 svc-2 Ready")));
        assertFalse(agent.isOpen());
        assertEquals("s-1", currentHosts());
        InMemoryAgent.connectForCompleteList(watch)
                .addInput(completeListResponse(list(41, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
        assertEquals("s-2", currentHosts());
    }

    /** A lagging agent would undo a drain, so an older list is applied only after the longest lag that the protocol allows. */
    @Test
    void ignoresAnOlderListOfAnotherScopeUntilItsSourceMustHaveRestarted() {
        VersionTracker versions = new VersionTracker(initialList(SCOPE_ONE, "s-1"));
        SourceHistory source = new SourceHistory(true, SCOPE_TWO);
        HostList olderList =
                new HostList(7, true, initialList(SCOPE_TWO, "s-2").entries(), InvalidEntries.NONE, SCOPE_TWO, 3);
        assertTrue(versions.requiresCompleteList(source));
        assertEquals(OLDER_UNDER_OTHER_SCOPE, versions.rejectionOf(olderList, source, 0));
        assertEquals(OLDER_UNDER_OTHER_SCOPE, versions.rejectionOf(olderList, source, 6_000_000_000L));
        assertEquals(41, versions.version());
        versions.rejectionOf(olderList, source, 6_000_000_001L);
        assertEquals(Optional.empty(), versions.rejectionOf(olderList, source, 6_000_000_002L));
        assertEquals(VersionTracker.UpdateDecision.APPLIED, versions.applyIfNewer(olderList, source, 6_000_000_002L));
        assertEquals(7, versions.version());
        assertFalse(versions.requiresCompleteList(source));
    }
}
