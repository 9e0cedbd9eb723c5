package linenring.discovery;

import static linenring.discovery.AgentMessages.HEAD;
import static linenring.discovery.AgentMessages.body;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.host;
import static linenring.discovery.AgentMessages.list;
import static linenring.discovery.AgentSocket.accept;
import static linenring.discovery.AgentSocket.acceptWholeList;
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
    private static final HostList NONE_KNOWN = null;

    @Test
    void requestsFromItsVersionAndReadsLinesHoweverTheyAreCut() {
        InMemoryAgent agent = InMemoryAgent.watched(watch(41));
        assertTrue(agent.takeOutputString()
                .startsWith("GET /catalog/members?watch=1&from=41 HTTP/1.1\r\nHost: 127.0.0.1:8500\r\n"));
        String two = list(42, false, host("Ready")) + "\n" + list(43, false, host("Terminating"));
        String answer = HEAD + chunk("\n") + chunk(two.substring(0, 30)) + chunk(two.substring(30)) + chunk("\r\n");
        for (int i = 0; i < answer.length(); i++) {
            agent.addInput(answer.substring(i, i + 1));
        }
        assertEquals(List.of(42L, 43L), versions());
        assertTrue(agent.isOpen() && delaysMs().isEmpty());
    }

    @Test
    void appliesAWholeListOnAWatchAndIgnoresAnOldChange() {
        HostWatch watch = watch(41);
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD
                + chunk(list(44, true, host("Ready")))
                + chunk(list(44, false, host("Gone")))
                + chunk(list(45, false, host("Gone")))
                + chunk(list(43, true, host("Gone"))));
        assertEquals(List.of(44L, 45L), versions());
        assertTrue(logText().contains("version 43, which is older than 45 and changes nothing"));
    }

    @Test
    void redialsWhereNoBlankLineComesInTime() {
        InMemoryAgent agent = InMemoryAgent.watched(watch(41));
        agent.addInput(HEAD + chunk(list(42, false, host("Ready"))));
        assertFalse(agent.expireIdle());
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), delaysMs());
        assertTrue(logText().contains("failed (data received): nothing came for")
                && logText().contains("from host list version 42"));
    }

    @Test
    void logsHowFarEachAttemptCameAndBacksOffUpToTheLimit() {
        HostWatch watch = watch(41);
        for (String answer : List.of(
                "",
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "SSH-2.0-x\r\n\r\n",
                HEAD + chunk("{\"version\":\n"),
                HEAD + chunk("{\"version\":42,\"full\":false}\n"),
                HEAD + "0\r\n\r\n",
                HEAD + "zz\r\n")) {
            InMemoryAgent agent = InMemoryAgent.watched(watch);
            agent.addInput(answer);
            agent.addInputEOF();
            assertFalse(agent.isOpen(), answer);
        }
        assertEquals(List.of(20L, 40L, 80L, 160L, 320L, 500L, 500L), delaysMs());
        assertEquals(List.of(), versions()); // the list stands
        List<String> lines = logText().lines().toList();
        assertTrue(lines.get(0).contains("failed (request sent): ended by its peer"), lines.get(0));
        assertTrue(lines.get(1).contains("failed (response started): status 503"), lines.get(1));
        assertTrue(lines.get(2).contains("failed (request sent): no HTTP answer"), lines.get(2));
        assertTrue(lines.get(3).contains("can't be read, text: not JSON"), lines.get(3));
        assertTrue(lines.get(4).contains("can't be read, fields: field servers is missing"), lines.get(4));
    }

    /** Moves there and back at once, then to an address where nobody answers, then to one that delivers. */
    @Test
    void servesFromTheOldAddressUntilTheNewOneDelivers() throws Exception {
        try (ServerSocket old = listen();
                ServerSocket mute = listen();
                ServerSocket now = listen()) {
            HostWatch watch = dialling(old);
            try (Socket served = accept(old, 41)) {
                write(served, HEAD + chunk(list(42, false, host("Ready"))));
                awaitVersion(42);
                watch.moveTo(address(mute), ServiceScope.ALL);
                watch.moveTo(address(old), ServiceScope.ALL); // abandoned at once
                watch.moveTo(address(mute), ServiceScope.ALL);
                write(served, chunk(list(43, false, host("Ready")))); // nothing came from there: the old one serves
                awaitVersion(43);
                watch.moveTo(address(now), ServiceScope.ALL);
                watch.moveTo(address(now), ServiceScope.ALL); // once more changes nothing
                try (Socket moved = accept(now, 43)) {
                    write(moved, HEAD + chunk("\n"));
                    assertEquals(-1, served.getInputStream().read()); // now it is closed
                    write(
                            moved,
                            chunk(list(40, true, host("Gone")))
                                    + chunk(list(43, false, host("Gone")))
                                    + chunk(list(44, false, host("Gone"))));
                    awaitVersion(44); // what is stale was ignored, and the version went along
                }
                try (Socket again = accept(now, 44)) {
                    assertTrue(again.isConnected());
                }
            }
            old.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, old::accept); // nobody dials there any more
        }
    }

    @Test
    void requestsTheWholeListThenWatchesAndResumesAfterABreak() throws Exception {
        try (ServerSocket agent = listen()) {
            dialling(agent, ServiceScope.ALL, NONE_KNOWN);
            answer(acceptWholeList(agent), body(list(7, true, host("Ready"))));
            answer(accept(agent, 7), HEAD + chunk(list(9, false, host("Gone"))));
            answer(accept(agent, 9), HEAD);
            assertEquals(List.of(7L, 9L), versions());
        }
    }

    /** The agent that the settings name may count from one again: changes under its lower versions must not be missed for ever. */
    @Test
    void ignoresASourceThatCountsAnewWhileItMayLagAndThenAppliesItsWholeList() throws Exception {
        try (ServerSocket old = listen();
                ServerSocket now = listen()) {
            HostWatch watch = dialling(old);
            try (Socket served = accept(old, 41)) {
                write(served, HEAD + chunk(list(42, false, host("Ready"))));
                awaitVersion(42);
                watch.moveTo(address(now), ServiceScope.ALL);
                try (Socket moved = accept(now, 42)) {
                    write(
                            moved,
                            HEAD
                                    + chunk(list(3, true, host("Gone")))
                                    + chunk(list(4, false, host("Ready")))
                                    + chunk("\n"));
                    assertEquals(-1, served.getInputStream().read()); // all of that is read
                    awaitLog("sends version 4, which is older than 42", 1);
                    assertEquals(List.of(), versions());
                    advanceNanos(3_000_000_000L);
                    write(moved, chunk(list(4, false, host("Ready")))); // it goes on sending
                    awaitLog("sends version 4, which is older than 42", 2);
                    advanceNanos(3_000_000_001L);
                    write(moved, chunk("\n"));
                    assertEquals(-1, moved.getInputStream().read());
                }
                answer(acceptWholeList(now), body(list(5, true, host("Ready"))));
                awaitVersion(5);
                answer(accept(now, 5), HEAD + chunk(list(6, false, host("Gone"))));
                awaitVersion(6);
            }
        }
    }

    @Test
    void neverTreatsASourceThatWasNotMovedToAsRestarted() {
        VersionTracker versions = new VersionTracker(new HostList(41, true, List.of()));
        SourceHistory source = new SourceHistory(false);
        SourceHistory late = new SourceHistory(true);
        assertEquals(VersionTracker.Verdict.IGNORED, versions.judge(new HostList(7, true, List.of()), source, 0));
        assertFalse(source.judgeRestart(Long.MAX_VALUE / 2));
        assertEquals(VersionTracker.Verdict.IGNORED, versions.judge(new HostList(40, true, List.of()), late, 0));
        assertEquals(
                VersionTracker.Verdict.APPLIED,
                versions.judge(new HostList(42, false, List.of()), late, 1)); // only late
        assertFalse(late.judgeRestart(Long.MAX_VALUE / 2));
        assertEquals(42, versions.version());
    }

    /** The last one may have had invalid entries, which its version does not show. */
    @Test
    void appliesAWholeListOfTheHeldVersion() {
        HostWatch watch = watch(41);
        InMemoryAgent.watched(watch)
                .addInput(HEAD + chunk(list(41, true, host("Ready"))) + chunk(list(41, false, host("Gone"))));
        assertEquals(List.of(41L), versions());
    }

    @Test
    void staysAtTheServingAddressWhereTheNewOneSendsUnreadableData() throws Exception {
        try (ServerSocket old = listen();
                ServerSocket wrong = listen()) {
            HostWatch watch = dialling(old);
            try (Socket served = accept(old, 41)) {
                write(served, HEAD + chunk("\n"));
                watch.moveTo(address(wrong), ServiceScope.ALL);
                try (Socket moved = accept(wrong, 41)) {
                    write(moved, HEAD + chunk("a page of another service\n"));
                    assertEquals(-1, moved.getInputStream().read());
                }
                write(served, chunk(list(42, false, host("Ready"))));
                awaitVersion(42);
            }
        }
    }

    @Test
    void abandonsALineThatDripsAndNeverEnds() {
        HostWatch watch = watch(41);
        InMemoryAgent agent = InMemoryAgent.watched(watch);
        agent.addInput(HEAD + chunk("\n") + chunk("{\"vers"));
        advanceNanos(4_000_000_000L);
        agent.addInput(chunk("i"));
        assertTrue(agent.isOpen());
        advanceNanos(2_000_000_001L);
        agent.addInput(chunk("o"));
        assertFalse(agent.isOpen());
        assertEquals(List.of(20L), delaysMs());
    }

    /** On one machine a connection may be made at once; then Jetty reports its failure by another method. */
    @Test
    void redialsAfterAConnectionMadeAtOnceFailsUnlessItWasAbandoned() throws Exception {
        HostWatch watch = watch(41);
        try (ServerSocket agent = listen();
                SocketChannel other = SocketChannel.open(address(agent))) {
            watch.onAcceptFailed(other, new IOException("too many open files"));
            assertEquals(List.of(), delaysMs()); // none of its own
            watch.state().dialled(watch.state().serving(), other);
            watch.onAcceptFailed(other, new IOException("too many open files"));
            assertEquals(List.of(20L), delaysMs());
            assertFalse(other.isOpen());
        }
    }

    private static void answer(Socket connection, String answer) throws IOException {
        try (connection) {
            write(connection, answer);
        }
    }
}
