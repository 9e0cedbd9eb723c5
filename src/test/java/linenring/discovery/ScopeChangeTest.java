package linenring.discovery;

import static linenring.discovery.AgentFixture.OK;
import static linenring.discovery.AgentFixture.agent;
import static linenring.discovery.AgentFixture.asked;
import static linenring.discovery.AgentFixture.at;
import static linenring.discovery.AgentFixture.chunk;
import static linenring.discovery.AgentFixture.say;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import linenring.discovery.AgentFixture.Agent;
import linenring.protocol.HostList;
import linenring.protocol.InvalidEntries;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

/** What the watch does where its scope changes. */
class ScopeChangeTest extends ScopedWatchFixture {
    @Test
    void aChangeOfScopeAsksForTheWholeListAndTheOldHostsStayUntilItHasCome() throws Exception {
        try (ServerSocket agent = agent()) {
            HostWatch watch = dialling(agent, ONE, known(ONE, "s-1"));
            try (Socket served = asked(agent, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                say(served, OK + chunk("\n"));
                watch.moveTo(at(agent), TWO);
                try (Socket again = asked(agent, "GET /catalog/members HTTP/1.1")) {
                    say(served, chunk(list(42, false, "s-3 svc-1 Ready", "s-4 svc-2 Ready")));
                    awaitHosts("s-1 s-3"); // the old scope is in force
                    say(again, body(list(42, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-4 svc-2 Ready")));
                    awaitHosts("s-2 s-4");
                    assertEquals(-1, served.getInputStream().read());
                }
            }
            try (Socket watched = asked(agent, "GET /catalog/members?watch=1&from=42 HTTP/1.1")) {
                say(watched, OK + chunk(list(43, false, "s-1 svc-2 Ready", "s-2 svc-1 Ready")));
                awaitHosts("s-1 s-4");
            }
            watch.stop();
        }
    }

    @Test
    void aScopeThatNamesNobodyChangesNothingAndTheOldOneGoesOn() throws Exception {
        try (ServerSocket agent = agent()) {
            HostWatch watch = dialling(agent, ONE, known(ONE, "s-1"));
            try (Socket served = asked(agent, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                say(served, OK + chunk("\n"));
                watch.moveTo(at(agent), NOBODY);
                try (Socket again = asked(agent, "GET /catalog/members HTTP/1.1")) {
                    say(again, body(list(41, true, "s-1 svc-1 Ready")));
                    assertEquals(-1, again.getInputStream().read());
                }
                awaitLog("scope names none of the 1 hosts listed; the list before it stays in force; next in 5000 ms");
                say(served, chunk(list(42, false, "s-2 svc-1 Ready")));
                awaitHosts("s-1 s-2");
                watch.moveTo(at(agent), ONE); // back: nothing was lost
                say(served, chunk(list(43, false, "s-1 svc-1 Gone")));
                awaitHosts("s-2");
            }
            watch.stop();
        }
    }

    @Test
    void whileDiscoveryIsDownAtAChangeOfScopeTheOldHostsStayAndOfTwoReloadsTheLastCounts() throws Exception {
        try (ServerSocket agent = agent()) {
            ServerSocket gone = agent();
            InetSocketAddress down = at(gone);
            gone.close();
            HostWatch watch = dialling(agent, ONE, known(ONE, "s-1"));
            try (Socket served = asked(agent, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                say(served, OK + chunk("\n"));
                watch.moveTo(down, NOBODY); // discovery and scope at once, and nobody answers there
                awaitLog("the attempt at 127.0.0.1:" + down.getPort() + " had dialled and ended");
                assertEquals("s-1", hosts());
                watch.moveTo(at(agent), ServiceScope.ALL);
                watch.moveTo(at(agent), TWO);
                watch.moveTo(at(agent), TWO); // once more changes nothing
                Socket again = askedForWhole(agent);
                say(again, body(list(41, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
                awaitHosts("s-2");
                again.close();
            }
            watch.stop();
        }
    }

    /** The one that is given up may have dialled, and asked, before it was. */
    private static Socket askedForWhole(ServerSocket agent) throws Exception {
        while (true) {
            Socket socket = agent.accept();
            socket.setSoTimeout(20_000);
            byte[] request = new byte[512];
            int got = socket.getInputStream().read(request);
            if (got > 0) {
                String words = new String(request, 0, got, StandardCharsets.US_ASCII);
                assertTrue(words.startsWith("GET /catalog/members HTTP/1.1"), words);
                socket.setSoTimeout(300);
                try {
                    if (socket.getInputStream().read() < 0) {
                        continue; // given up
                    }
                } catch (java.net.SocketTimeoutException e) {
                    socket.setSoTimeout(20_000);
                    return socket;
                } catch (java.io.IOException e) {
                    continue; // given up
                }
            }
        }
    }

    @Test
    void aMoveThatChangesDiscoveryAndScopeAtOnceNeedsOneWholeListFromThere() throws Exception {
        try (ServerSocket old = agent();
                ServerSocket now = agent()) {
            HostWatch watch = dialling(old, ServiceScope.ALL, known(ServiceScope.ALL, "s-1", "s-2", "s-3"));
            try (Socket served = asked(old, "GET /catalog/members?watch=1&from=41 HTTP/1.1")) {
                say(served, OK + chunk("\n"));
                watch.moveTo(at(now), TWO);
                try (Socket moved = asked(now, "GET /catalog/members HTTP/1.1")) {
                    say(moved, body(list(45, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-3  Ready")));
                    awaitHosts("s-2 s-3");
                    assertEquals(-1, served.getInputStream().read());
                }
            }
            try (Socket watched = asked(now, "GET /catalog/members?watch=1&from=45 HTTP/1.1")) {
                watch.moveTo(at(now), ServiceScope.ALL); // and without a scope again
                try (Socket whole = asked(now, "GET /catalog/members HTTP/1.1")) {
                    say(whole, body(list(45, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready", "s-3  Ready")));
                    awaitHosts("s-1 s-2 s-3");
                    assertEquals(-1, watched.getInputStream().read());
                }
            }
            watch.stop();
        }
    }

    @Test
    void aListFromAnotherScopeServesUntilTheWholeOneHasCome() {
        HostWatch watch = watch(TWO, known(ONE, "s-1"), Integer.MAX_VALUE); // as after an upgrade with a new file
        Agent agent = new Agent(watch, "/", false);
        agent.addInput(OK + chunk(list(42, false, "s-2 svc-2 Ready")));
        assertFalse(agent.isOpen());
        assertEquals("s-1", hosts());
        new Agent(watch, "/", true).addInput(body(list(41, true, "s-1 svc-1 Ready", "s-2 svc-2 Ready")));
        assertEquals("s-2", hosts());
    }

    /** An agent that is behind would undo a drain; one that counts anew is believed once it is past being late. */
    @Test
    void anOlderListUnderAnotherScopeIsPassedOverAndVersionsThatRestartAreTakenInTheEnd() {
        Versions versions = new Versions(known(ONE, "s-1"));
        Versions.Told source = new Versions.Told(true, TWO);
        HostList old = new HostList(7, true, known(TWO, "s-2").entries(), InvalidEntries.NONE, TWO, 3);
        assertTrue(versions.asksWhole(source));
        assertEquals(Versions.Refusal.TOO_OLD_FOR_ITS_SCOPE, versions.refuses(old, source, 0));
        assertEquals(Versions.Refusal.TOO_OLD_FOR_ITS_SCOPE, versions.refuses(old, source, 6_000_000_000L));
        assertEquals(41, versions.version());
        versions.refuses(old, source, 6_000_000_001L);
        assertNull(versions.refuses(old, source, 6_000_000_002L));
        assertEquals(Versions.Verdict.TAKEN, versions.judge(old, source, 6_000_000_002L));
        assertEquals(7, versions.version());
        assertFalse(versions.asksWhole(source));
    }
}
