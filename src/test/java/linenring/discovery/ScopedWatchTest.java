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

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import linenring.discovery.AgentFixture.Agent;
import linenring.discovery.AgentFixture.Waits;
import linenring.exchange.Exchange;
import linenring.exchange.Stream;
import linenring.figures.Names;
import linenring.log.Log;
import linenring.message.Arrival;
import linenring.message.Codec;
import linenring.message.HostList;
import linenring.message.ServiceScope;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the watch does under a scope, at a change of it, and with lists that are cut, spoilt or too large. */
class ScopedWatchTest {
    private static final ServiceScope ONE = ServiceScope.of(List.of("svc-1"));
    private static final ServiceScope TWO = ServiceScope.of(List.of("svc-2"));
    private static final ServiceScope NOBODY = ServiceScope.of(List.of("svc-none"));

    private final Exchange exchange = new Exchange();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(logged, true));
    private final Codec codec = new Codec(new Names(List.of("a"), List.of("m1"), List.of("lookup"), 9, 4));
    private final Waits waits = new Waits();
    private final AtomicLong nanos = new AtomicLong();
    private final List<String> ends = new ArrayList<>();
    private final TreeMap<String, HostList.State> hosts = new TreeMap<>(); // as a follower of the exchange has them
    private final QueuedThreadPool threads = new QueuedThreadPool(8, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();

    @BeforeEach
    void start() throws Exception {
        threads.start();
        scheduler.start();
    }

    @AfterEach
    void stop() throws Exception {
        threads.stop();
        scheduler.stop();
    }

    private HostWatch watch(
            InetSocketAddress at, ServiceScope scope, HostList known, int most, Executor executor, Scheduler timer) {
        if (known != null) {
            take(known);
        }
        return new HostWatch(at, scope, known, codec, exchange, log, executor, timer, ends::add, most, nanos::get);
    }

    /** One whose agents are handed their bytes, and which never dials. */
    private HostWatch watch(ServiceScope scope, HostList known, int most) {
        return watch(new InetSocketAddress("127.0.0.1", 8500), scope, known, most, Runnable::run, waits);
    }

    private HostWatch dialling(ServerSocket agent, ServiceScope scope, HostList known) throws Exception {
        HostWatch watch = watch(at(agent), scope, known, Integer.MAX_VALUE, threads, scheduler);
        watch.open();
        return watch;
    }

    private static HostList known(ServiceScope scope, String... ids) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(new HostList.Entry(id, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY));
        }
        return new HostList(41, true, entries, linenring.message.SpoiltEntries.NONE, scope, 0);
    }

    /** One entry: id, service (empty: none) and state, a space between. */
    private static String entry(String told) {
        String[] words = told.split(" ");
        String service = words[1].isEmpty() ? "" : ",\"service\":\"" + words[1] + "\"";
        return "{\"id\":\"" + words[0] + "\",\"zone\":\"a\",\"kind\":\"m1\",\"state\":\"" + words[2] + "\"" + service
                + "}";
    }

    private static String list(long version, boolean whole, String... entries) {
        List<String> all = new ArrayList<>();
        for (String e : entries) {
            all.add(entry(e));
        }
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + String.join(",", all) + "]}\n";
    }

    private static String body(String list) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    }

    private void take(HostList list) {
        if (list.whole()) {
            hosts.clear();
        }
        for (HostList.Entry e : list.entries()) {
            if (e.state() == HostList.State.GONE) {
                hosts.remove(e.host());
            } else {
                hosts.put(e.host(), e.state());
            }
        }
    }

    /** The hosts as whoever follows the exchange has them now. */
    private String hosts() {
        exchange.drain(new Exchange.Taker() {
            @Override
            public void arrived(Stream from, Arrival what) {
                throw new AssertionError();
            }

            @Override
            public void ended(Stream which) {
                throw new AssertionError();
            }

            @Override
            public void listed(HostList list) {
                take(list);
            }
        });
        return String.join(" ", new TreeSet<>(hosts.keySet()));
    }

    private void awaitHosts(String expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!hosts().equals(expected)) {
            assertTrue(System.nanoTime() < end, expected + " expected, and there are: " + hosts());
            exchange.await(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    private void awaitLog(String words) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!logged.toString().contains(words)) {
            assertTrue(System.nanoTime() < end, words + "\n" + logged);
            Thread.onSpinWait();
        }
    }

    // ---- lists that are cut, too large, or old

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
        exchange.follow(told::add);
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
        exchange.follow(told::add);
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
        HostWatch watch = watch(ONE, known(ONE, "s-1"), Integer.MAX_VALUE);
        Agent late = new Agent(watch, "/", false), other = new Agent(watch, "/", false);
        String line = list(43, false, "s-2 svc-9 Ready");
        late.addInput(OK + chunk(line.substring(0, line.length() - 3)));
        other.addInput(OK + chunk(list(42, false, "s-2 svc-1 Ready")));
        assertEquals("s-1 s-2", hosts());
        late.addInput(chunk(line.substring(line.length() - 3)));
        assertFalse(late.isOpen());
        assertTrue(logged.toString().contains("another list came while this one was read"));
        new Agent(watch, "/", false).addInput(OK + chunk(line));
        assertEquals("s-1", hosts());
    }

    @Test
    void aBodyOfBlanksTellsNothing() {
        HostWatch watch = watch(ONE, null, Integer.MAX_VALUE);
        new Agent(watch, "/", true).addInput(body("\n \r\n\t"));
        assertEquals(List.of(20L), waits.ms);
        assertTrue(logged.toString().contains("had answered and ended"));
    }

    // ---- a change of scope

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
        HostList old = new HostList(7, true, known(TWO, "s-2").entries(), linenring.message.SpoiltEntries.NONE, TWO, 3);
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
