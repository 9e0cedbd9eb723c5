package linenring.discovery;

import static linenring.discovery.AgentMessages.RESPONSE_HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.completeListResponse;
import static linenring.discovery.AgentMessages.hostInState;
import static linenring.discovery.AgentMessages.list;
import static linenring.discovery.AgentSocket.accept;
import static linenring.discovery.AgentSocket.acceptCompleteListRequest;
import static linenring.discovery.AgentSocket.address;
import static linenring.discovery.AgentSocket.listen;
import static linenring.discovery.AgentSocket.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.List;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

class HostWatchTest extends WatchFixture {
    private static final HostList WITHOUT_INITIAL_LIST = null;

    @Test
    void requestsFromItsVersionAndReadsLinesSplitAnywhere() {
        InMemoryAgent agent = InMemoryAgent.connectForWatch(createWatch(41));
        assertTrue(agent.takeOutputString()
                .startsWith("GET /catalog/members?watch=1&from=41 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n"));
        String bothLines = list(42, false, hostInState("Ready")) + "\n" + list(43, false, hostInState("Terminating"));
        String response = RESPONSE_HEAD
                + chunk("\n")
                + chunk(bothLines.substring(0, 30))
                + chunk(bothLines.substring(30))
                + chunk("\r\n");
        for (int i = 0; i < response.length(); i++) {
            agent.addInput(response.substring(i, i + 1));
        }
        assertEquals(List.of(42L, 43L), takeAppliedVersions());
        assertTrue(agent.isOpen() && backoffDelaysMs().isEmpty());
    }

    @Test
    void appliesACompleteListOnAWatchAndIgnoresAnOldDelta() {
        HostWatch watch = createWatch(41);
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD
                + chunk(list(44, true, hostInState("Ready")))
                + chunk(list(44, false, hostInState("Gone")))
                + chunk(list(45, false, hostInState("Gone")))
                + chunk(list(43, true, hostInState("Gone"))));
        assertEquals(List.of(44L, 45L), takeAppliedVersions());
        assertTrue(logText().contains("ignoring version 43, which is older than the current version 45"));
    }

    @Test
    void reconnectsWhereNoBlankLineArrivesInTime() {
        InMemoryAgent agent = InMemoryAgent.connectForWatch(createWatch(41));
        agent.addInput(RESPONSE_HEAD + chunk(list(42, false, hostInState("Ready"))));
        assertFalse(agent.expireIdle());
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), backoffDelaysMs());
        assertTrue(logText().contains("failed (data received): nothing came for")
                && logText().contains("from host list version 42"));
    }

    @Test
    void logsTheStageOfEachFailedAttemptAndBacksOffUpToTheLimit() {
        HostWatch watch = createWatch(41);
        for (String response : List.of(
                "",
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "SSH-2.0-x\r\n\r\n",
                RESPONSE_HEAD + chunk("{\"version\":\n"),
                RESPONSE_HEAD + chunk("{\"version\":42,\"full\":false}\n"),
                RESPONSE_HEAD + "0\r\n\r\n",
                RESPONSE_HEAD + "zz\r\n")) {
            InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
            agent.addInput(response);
            agent.addInputEOF();
            assertFalse(agent.isOpen(), response);
        }
        assertEquals(List.of(20L, 40L, 80L, 160L, 320L, 500L, 500L), backoffDelaysMs());
        assertEquals(List.of(), takeAppliedVersions()); // the current list is kept
        List<String> lines = logText().lines().toList();
        assertTrue(
                lines.get(0)
                        .contains(
                                "failed (request sent): connection closed by the agent before the end of its response"),
                lines.get(0));
        assertTrue(lines.get(1).contains("failed (response started): status 503"), lines.get(1));
        assertTrue(lines.get(2).contains("failed (request sent): response is not valid HTTP"), lines.get(2));
        assertTrue(lines.get(3).contains("response cannot be decoded: text: not JSON"), lines.get(3));
        assertTrue(lines.get(4).contains("response cannot be decoded: fields: field servers is missing"), lines.get(4));
    }

    /** Moves to an address and back at once, then to an address that sends nothing, then to an address that sends data. */
    @Test
    void servesFromTheOldAddressUntilTheNewOneDelivers() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket silentAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = openWatch(oldAgent);
            try (Socket oldConnection = accept(oldAgent, 41)) {
                write(oldConnection, RESPONSE_HEAD + chunk(list(42, false, hostInState("Ready"))));
                awaitVersion(42);
                watch.moveTo(address(silentAgent), ServiceScope.ALL);
                watch.moveTo(address(oldAgent), ServiceScope.ALL); // the silent address is abandoned at once
                watch.moveTo(address(silentAgent), ServiceScope.ALL);
                write(
                        oldConnection,
                        chunk(list(
                                43,
                                false,
                                hostInState("Ready")))); // the silent address sent nothing, so the old one serves
                awaitVersion(43);
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                watch.moveTo(address(newAgent), ServiceScope.ALL); // a repeated move changes nothing
                try (Socket newConnection = accept(newAgent, 43)) {
                    write(newConnection, RESPONSE_HEAD + chunk("\n"));
                    assertEquals(-1, oldConnection.getInputStream().read()); // the old connection is closed now
                    write(
                            newConnection,
                            chunk(list(40, true, hostInState("Gone")))
                                    + chunk(list(43, false, hostInState("Gone")))
                                    + chunk(list(44, false, hostInState("Gone"))));
                    awaitVersion(44); // stale lists are ignored, and the version is kept
                }
                try (Socket newReconnection = accept(newAgent, 44)) {
                    assertTrue(newReconnection.isConnected());
                }
            }
            oldAgent.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, oldAgent::accept); // the watch no longer dials the old address
        }
    }

    @Test
    void requestsACompleteListThenWatchesAndResumesAfterADisconnect() throws Exception {
        try (ServerSocket agent = listen()) {
            openWatch(agent, ServiceScope.ALL, WITHOUT_INITIAL_LIST);
            sendAndClose(acceptCompleteListRequest(agent), completeListResponse(list(7, true, hostInState("Ready"))));
            sendAndClose(accept(agent, 7), RESPONSE_HEAD + chunk(list(9, false, hostInState("Gone"))));
            sendAndClose(accept(agent, 9), RESPONSE_HEAD);
            assertEquals(List.of(7L, 9L), takeAppliedVersions());
        }
    }

    /** The new address may have restarted its versions at 1: deltas with lower versions must not be ignored forever. */
    @Test
    void ignoresARestartedSourceWhileItMayLagAndThenAppliesItsCompleteList() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = openWatch(oldAgent);
            try (Socket oldConnection = accept(oldAgent, 41)) {
                write(oldConnection, RESPONSE_HEAD + chunk(list(42, false, hostInState("Ready"))));
                awaitVersion(42);
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                try (Socket newConnection = accept(newAgent, 42)) {
                    write(
                            newConnection,
                            RESPONSE_HEAD
                                    + chunk(list(3, true, hostInState("Gone")))
                                    + chunk(list(4, false, hostInState("Ready")))
                                    + chunk("\n"));
                    assertEquals(
                            -1, oldConnection.getInputStream().read()); // the lines of the new address have been read
                    awaitLog("ignoring version 4, which is older than the current version 42", 1);
                    assertEquals(List.of(), takeAppliedVersions());
                    advanceNanos(3_000_000_000L);
                    write(
                            newConnection,
                            chunk(list(
                                    4,
                                    false,
                                    hostInState("Ready")))); // another delta with a version below the current one
                    awaitLog("ignoring version 4, which is older than the current version 42", 2);
                    advanceNanos(3_000_000_001L);
                    write(newConnection, chunk("\n"));
                    assertEquals(-1, newConnection.getInputStream().read());
                }
                sendAndClose(
                        acceptCompleteListRequest(newAgent), completeListResponse(list(5, true, hostInState("Ready"))));
                awaitVersion(5);
                sendAndClose(accept(newAgent, 5), RESPONSE_HEAD + chunk(list(6, false, hostInState("Gone"))));
                awaitVersion(6);
            }
        }
    }

    @Test
    void neverTreatsASourceThatWasNotMovedToAsRestarted() {
        VersionTracker versions = new VersionTracker(new HostList(41, true, List.of()));
        SourceHistory source = new SourceHistory(false);
        SourceHistory lagging = new SourceHistory(true);
        assertEquals(
                VersionTracker.UpdateDecision.IGNORED,
                versions.applyIfNewer(new HostList(7, true, List.of()), source, 0));
        assertFalse(source.detectRestart(Long.MAX_VALUE / 2));
        assertEquals(
                VersionTracker.UpdateDecision.IGNORED,
                versions.applyIfNewer(new HostList(40, true, List.of()), lagging, 0));
        assertEquals(
                VersionTracker.UpdateDecision.APPLIED,
                versions.applyIfNewer(new HostList(42, false, List.of()), lagging, 1)); // the source only lagged
        assertFalse(lagging.detectRestart(Long.MAX_VALUE / 2));
        assertEquals(42, versions.version());
    }

    /** The earlier list of the same version may have had invalid entries, which its version does not show. */
    @Test
    void appliesACompleteListOfTheCurrentVersion() {
        HostWatch watch = createWatch(41);
        InMemoryAgent.connectForWatch(watch)
                .addInput(RESPONSE_HEAD
                        + chunk(list(41, true, hostInState("Ready")))
                        + chunk(list(41, false, hostInState("Gone"))));
        assertEquals(List.of(41L), takeAppliedVersions());
    }

    @Test
    void staysAtTheServingAddressWhereTheNewOneSendsUnreadableData() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = openWatch(oldAgent);
            try (Socket oldConnection = accept(oldAgent, 41)) {
                write(oldConnection, RESPONSE_HEAD + chunk("\n"));
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                try (Socket newConnection = accept(newAgent, 41)) {
                    write(newConnection, RESPONSE_HEAD + chunk("a page of another service\n"));
                    assertEquals(-1, newConnection.getInputStream().read());
                }
                write(oldConnection, chunk(list(42, false, hostInState("Ready"))));
                awaitVersion(42);
            }
        }
    }

    @Test
    void disconnectsWhereALineNeverCompletes() {
        HostWatch watch = createWatch(41);
        InMemoryAgent agent = InMemoryAgent.connectForWatch(watch);
        agent.addInput(RESPONSE_HEAD + chunk("\n") + chunk("{\"vers"));
        advanceNanos(4_000_000_000L);
        agent.addInput(chunk("i"));
        assertTrue(agent.isOpen());
        advanceNanos(2_000_000_001L);
        agent.addInput(chunk("o"));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), backoffDelaysMs());
    }

    /** On one machine a connection may be established at once; Jetty then reports its failure by another method. */
    @Test
    void redialsAfterAnImmediateConnectionFailsUnlessItWasAbandoned() throws Exception {
        HostWatch watch = createWatch(41);
        try (ServerSocket agent = listen();
                SocketChannel channel = SocketChannel.open(address(agent))) {
            watch.onAcceptFailed(channel, new IOException("too many open files"));
            assertEquals(List.of(), backoffDelaysMs()); // the channel belongs to no source
            watch.state().setChannel(watch.state().servingSource(), channel);
            watch.onAcceptFailed(channel, new IOException("too many open files"));
            assertEquals(List.of(20L), backoffDelaysMs());
            assertFalse(channel.isOpen());
        }
    }

    private static void sendAndClose(Socket connection, String response) throws IOException {
        try (connection) {
            write(connection, response);
        }
    }
}
