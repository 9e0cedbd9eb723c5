package linenring.discovery;

import static linenring.discovery.AgentMessages.HEAD;
import static linenring.discovery.AgentMessages.body;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.list;
import static linenring.discovery.AgentSocket.accept;
import static linenring.discovery.AgentSocket.acceptWholeList;
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

/** What the watch does where its scope changes. */
class ScopeChangeTest extends WatchFixture {
    private static final Optional<VersionTracker.Refusal> OLDER =
            Optional.of(VersionTracker.Refusal.OLDER_UNDER_OTHER_SCOPE);

    @Test
    void keepsTheOldHostsUntilTheWholeListOfANewScopeHasCome() throws Exception {
        try (ServerSocket agent = listen()) {
            HostWatch watch = dialling(agent, ONE, known(ONE, "s-1"));
            try (Socket served = accept(agent, 41)) {
                write(served, HEAD + chunk("\n"));
                watch.moveTo(address(agent), TWO);
                try (Socket again = acceptWholeList(agent)) {
                    write(served, chunk(list(42, false, "s-3 svc-1 Ready", "s-4 svc-2 Ready")));
                    awaitHosts("s-1 s-3"); // the old scope is in force
                    write(again, body(list(42, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-4 svc-2 Ready")));
                    awaitHosts("s-2 s-4");
                    assertEquals(-1, served.getInputStream().read());
                }
            }
            try (Socket watched = accept(agent, 42)) {
                write(watched, HEAD + chunk(list(43, false, "s-1 svc-2 Ready", "s-2 svc-1 Ready")));
                awaitHosts("s-1 s-4");
            }
        }
    }

    @Test
    void goesOnUnderTheOldScopeWhereTheNewOneNamesNobody() throws Exception {
        try (ServerSocket agent = listen()) {
            HostWatch watch = dialling(agent, ONE, known(ONE, "s-1"));
            try (Socket served = accept(agent, 41)) {
                write(served, HEAD + chunk("\n"));
                watch.moveTo(address(agent), NOBODY);
                try (Socket again = acceptWholeList(agent)) {
                    write(again, body(list(41, true, "s-1 svc-1 Ready")));
                    assertEquals(-1, again.getInputStream().read());
                }
                awaitLog("scope names none of the 1 hosts listed; the list before it stays in force; next in 5000 ms");
                write(served, chunk(list(42, false, "s-2 svc-1 Ready")));
                awaitHosts("s-1 s-2");
                watch.moveTo(address(agent), ONE); // back: nothing was lost
                write(served, chunk(list(43, false, "s-1 svc-1 Gone")));
                awaitHosts("s-2");
            }
        }
    }

    @Test
    void keepsTheOldHostsWhileDiscoveryIsDownAndFollowsTheLastOfTwoReloads() throws Exception {
        try (ServerSocket agent = listen()) {
            ServerSocket gone = listen();
            InetSocketAddress down = address(gone);
            gone.close();
            HostWatch watch = dialling(agent, ONE, known(ONE, "s-1"));
            try (Socket served = accept(agent, 41)) {
                write(served, HEAD + chunk("\n"));
                watch.moveTo(down, NOBODY); // discovery and scope at once, and nobody answers there
                awaitLog("attempt at 127.0.0.1:" + down.getPort() + " failed (connecting): ");
                assertEquals("s-1", hosts());
                watch.moveTo(address(agent), ServiceScope.ALL);
                watch.moveTo(address(agent), TWO);
                watch.moveTo(address(agent), TWO); // once more changes nothing
                Socket again = askedForWhole(agent);
                write(again, body(list(41, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
                awaitHosts("s-2");
                again.close();
            }
        }
    }

    /** The one that is abandoned may have dialled, and sent its request, before it was. */
    private static Socket askedForWhole(ServerSocket agent) throws IOException {
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
    void movesToAnotherAddressAndScopeWithOneWholeList() throws Exception {
        try (ServerSocket old = listen();
                ServerSocket now = listen()) {
            HostWatch watch = dialling(old, ServiceScope.ALL, known(ServiceScope.ALL, "s-1", "s-2", "s-3"));
            try (Socket served = accept(old, 41)) {
                write(served, HEAD + chunk("\n"));
                watch.moveTo(address(now), TWO);
                try (Socket moved = acceptWholeList(now)) {
                    write(moved, body(list(45, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-3  Ready")));
                    awaitHosts("s-2 s-3");
                    assertEquals(-1, served.getInputStream().read());
                }
            }
            try (Socket watched = accept(now, 45)) {
                watch.moveTo(address(now), ServiceScope.ALL); // and without a scope again
                try (Socket whole = acceptWholeList(now)) {
                    write(whole, body(list(45, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-3  Ready")));
                    awaitHosts("s-1 s-2 s-3");
                    assertEquals(-1, watched.getInputStream().read());
                }
            }
        }
    }

    @Test
    void servesAListOfAnotherScopeUntilTheWholeOneHasCome() {
        HostWatch watch = watch(TWO, known(ONE, "s-1"), Integer.MAX_VALUE); // as after an upgrade with a new file
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD + chunk(list(42, false, "s-2 svc-2 Ready")));
        assertFalse(agent.isOpen());
        assertEquals("s-1", hosts());
        InMemoryAgent.askedForWholeList(watch).addInput(body(list(41, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
        assertEquals("s-2", hosts());
    }

    /** An agent that lags would undo a drain; one that counts anew is believed once no agent may lag any longer. */
    @Test
    void ignoresAnOlderListOfAnotherScopeUntilItsSourceMustHaveRestarted() {
        VersionTracker versions = new VersionTracker(known(ONE, "s-1"));
        SourceHistory source = new SourceHistory(true, TWO);
        HostList old = new HostList(7, true, known(TWO, "s-2").entries(), InvalidEntries.NONE, TWO, 3);
        assertTrue(versions.requiresWholeList(source));
        assertEquals(OLDER, versions.refusal(old, source, 0));
        assertEquals(OLDER, versions.refusal(old, source, 6_000_000_000L));
        assertEquals(41, versions.version());
        versions.refusal(old, source, 6_000_000_001L);
        assertEquals(Optional.empty(), versions.refusal(old, source, 6_000_000_002L));
        assertEquals(VersionTracker.Verdict.APPLIED, versions.judge(old, source, 6_000_000_002L));
        assertEquals(7, versions.version());
        assertFalse(versions.requiresWholeList(source));
    }
}
