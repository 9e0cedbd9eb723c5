package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.protocol.InboundMessage;
import linenring.settings.Lookup;
import linenring.settings.SettingsReader;
import linenring.simulator.SimulatorAdapter;
import org.junit.jupiter.api.Test;

class ControlLoopTest {
    private static final String START =
            "Azs=a,b Classes.count=2 Classes.0.Aim=750000 Classes.0.Name=lookup Classes.0.Points=2.0"
                    + " Classes.1.Aim=1200000 Classes.1.Name=order Classes.1.Points=3.0 Contract.Cold=18000000 Contract.ColdFrom=0.18"
                    + " Contract.StopSendingWithin=2500000 Discovery=pushed Kinds=m1 Quantum=4000 Specifics.CountedOver=10000000"
                    + " Specifics.DefaultSize=6 Specifics.MostWaiting=1800.0 Specifics.PerMessage=4.0 Specifics.Propagation=103000"
                    + " Specifics.ProxyCount=2 Specifics.PushRate=1200.0 Specifics.ThrottleBy=fraction Specifics.TransitMax=257500"
                    + " Specifics.UpdateCap=30";
    private static final double T0 = 1_700_000_000_000.0;

    /** What one proxy makes of its orders: the same for both ways of telling it. */
    private static final class Seen implements ProxyStream {
        final TreeMap<String, TreeMap<String, Double>> lines = new TreeMap<>(); // by operation
        final TreeMap<String, ConfigurationUpdate.AdmissionPolicy> levels = new TreeMap<>();
        final TreeSet<String> out = new TreeSet<>();
        final List<Integer> marks = new ArrayList<>();
        String closed;

        @Override
        public void write(ConfigurationUpdate order) {
            for (ConfigurationUpdate.Part part : order.parts()) {
                for (String op : part.operations().isEmpty() ? List.of("lookup", "order") : part.operations()) {
                    TreeMap<String, Double> table = lines.computeIfAbsent(op, o -> new TreeMap<>());
                    if (part.replacesTable()) {
                        table.clear();
                        levels.remove(op);
                    }
                    part.entries().forEach(l -> table.put(l.host(), rounded(l.weight())));
                    table.values().removeIf(w -> w == 0);
                    if (part.admission() != null) {
                        levels.put(
                                op,
                                new ConfigurationUpdate.AdmissionPolicy(
                                        rounded(part.admission().admissionRatio()),
                                        part.admission().retryPolicyCode()));
                    }
                }
                out.addAll(part.ejected());
                out.removeAll(part.restored());
                if (part.nonce() != ConfigurationUpdate.WITHOUT_NONCE) {
                    marks.add(part.nonce());
                }
            }
        }

        private static double rounded(double figure) {
            return Math.round(figure * 1e4) / 1e4;
        }

        @Override
        public void close(String why) {
            closed = why;
        }

        @Override
        public String toString() {
            TreeSet<String> shut = new TreeSet<>(out); // what no table holds makes no difference
            shut.removeIf(h -> lines.values().stream().noneMatch(t -> t.containsKey(h)));
            return lines + " " + levels + " out " + shut + " marks " + marks;
        }
    }

    /** Carries a reply of the simulator's wire out, as its page words it. */
    private static final class WireFleet {
        final Map<String, TreeMap<String, Double>> tables = new HashMap<>();
        final Map<String, TreeMap<String, ConfigurationUpdate.AdmissionPolicy>> levels = new HashMap<>();
        final Map<Integer, String> bound = new TreeMap<>();
        final TreeSet<String> out = new TreeSet<>();

        private static String field(String line, String name) {
            for (String pair : line.split(" ")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return null;
        }

        void take(String line) {
            String table = field(line, "Sheet"), host = field(line, "Host");
            if (line.startsWith("set_line")) {
                double weight = Double.parseDouble(field(line, "Heft"));
                TreeMap<String, Double> lines = tables.computeIfAbsent(table, t -> new TreeMap<>());
                lines.put(host, weight);
                lines.values().removeIf(w -> w == 0);
            } else if (line.startsWith("cordon")) {
                if (field(line, "Flag").equals("1")) {
                    out.add(host);
                } else {
                    out.remove(host);
                }
            } else if (line.startsWith("subscribe_to")) {
                assertEquals("0", field(line, "Mask"));
                bound.put(Integer.parseInt(field(line, "Sidecar")), table);
            } else if (line.startsWith("level")) {
                String op = field(line, "Mask").equals("1") ? "lookup" : "order";
                levels.computeIfAbsent(table, t -> new TreeMap<>())
                        .put(
                                op,
                                new ConfigurationUpdate.AdmissionPolicy(
                                        Double.parseDouble(field(line, "Level")),
                                        Integer.parseInt(field(line, "OnFailure"))));
            }
        }

        String seen(int proxy) {
            String table = bound.get(proxy);
            TreeMap<String, TreeMap<String, Double>> lines = new TreeMap<>();
            TreeMap<String, ConfigurationUpdate.AdmissionPolicy> level = new TreeMap<>();
            if (table != null) {
                lines.put("lookup", tables.get(table));
                lines.put("order", tables.get(table));
                level.putAll(levels.getOrDefault(table, new TreeMap<>()));
            }
            TreeSet<String> shut = new TreeSet<>(out);
            shut.removeIf(h -> lines.values().stream().noneMatch(t -> t.containsKey(h)));
            return lines + " " + level + " out " + shut;
        }
    }

    private String start = START;
    private final EventQueue exchange = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Seen[] proxies = {new Seen(), new Seen()};
    private final StringBuilder wire = new StringBuilder();
    private final List<String> socketsSaw = new ArrayList<>();
    private ControlLoop steward;
    private int version = 1;

    private final Lookup figures = new Lookup() {
        @Override
        public String find(String path) {
            for (String pair : start.split(" ")) {
                if (pair.startsWith(path + "=")) {
                    return pair.substring(path.length() + 1);
                }
            }
            return null;
        }

        @Override
        protected RuntimeException bad(String path, String what) {
            return new IllegalArgumentException(path + what);
        }
    };

    private ControlLoop start(Log log) {
        return new ControlLoop(
                SettingsReader.read(figures),
                SettingsReader.names(figures),
                null,
                exchange,
                log,
                new Clock(Instant.ofEpochMilli((long) T0)));
    }

    private static HostList.Entry entry(int host, State state, double started) {
        return new HostList.Entry("s-" + host, host % 2, 0, state, 1, started);
    }

    /** Tells both ways the same, at the same time. */
    private void at(double ms, String events, Runnable sockets) {
        wire.append("batch Now=")
                .append(Math.round((T0 + ms) * 1000))
                .append('\n')
                .append(events)
                .append("eob\n");
        sockets.run();
        steward.runRound(T0 + ms);
        socketsSaw.add(proxies[0] + "\n" + proxies[1]);
    }

    private String list(String scope, List<HostList.Entry> entries) {
        StringBuilder text = new StringBuilder("catalog Bank=0 Items=" + entries.size() + "\n");
        for (HostList.Entry e : entries) {
            text.append("entry Host=")
                    .append(e.host())
                    .append(" Dc=")
                    .append(e.zone())
                    .append(" Model=0 Heft=1 Mode=")
                    .append(e.state() == State.READY ? "Running" : e.state() == State.GONE ? "Deleted" : "Stopping")
                    .append(e.startedMs() > 0 ? " StartTime=" + Math.round(e.startedMs() * 1000) : "")
                    .append('\n');
        }
        return text + "registry StewardId=0 Bank=0 Rev=" + version++ + " Scope=" + scope + "\n";
    }

    private void listed(double ms, boolean whole, HostList.Entry... entries) {
        String text = list(whole ? "whole" : "patch", List.of(entries));
        at(ms, text, () -> exchange.enqueueHostList(new HostList(version, whole, List.of(entries))));
    }

    @Test
    void oneStoryOnBothWiresLeavesTheProxiesWithTheSame() throws IOException {
        steward = start(new Log(new PrintStream(logged)));
        wire.append("batch Now=")
                .append(Math.round(T0 * 1000))
                .append("\nprovision StewardId=0 Entropy=7 ")
                .append(START)
                .append("\neob\n");
        socketsSaw.add(proxies[0] + "\n" + proxies[1]);
        listed(
                10,
                true,
                entry(0, State.READY, Double.NEGATIVE_INFINITY),
                entry(1, State.READY, Double.NEGATIVE_INFINITY),
                entry(2, State.READY, Double.NEGATIVE_INFINITY),
                entry(3, State.READY, Double.NEGATIVE_INFINITY));
        for (int p = 0; p < 2; p++) {
            int proxy = p;
            at(
                    20 + p,
                    "joined StewardId=0 Sidecar=" + p + " Flag=1 Dc=" + p + " Heft=6.5\n",
                    () -> exchange.enqueueMessage(
                            proxies[proxy], new InboundMessage.Subscribe(proxy, proxy, 6.5, true)));
        }
        for (double ms = 150; ms < 16_000; ms += 100) {
            List<String> events = new ArrayList<>(List.of("elapsed StewardId=0 Handle=1\n"));
            List<Runnable> calls = new ArrayList<>();
            for (int p = 0; p < 2; p++) {
                int proxy = p,
                        mark = proxies[p].marks.isEmpty() ? -1 : proxies[p].marks.get(proxies[p].marks.size() - 1);
                if (mark >= 0) {
                    events.add("in_force StewardId=0 Sidecar=" + p + " Rev=" + mark + " Rtt=130000\n");
                    calls.add(() -> exchange.enqueueMessage(
                            proxies[proxy], new InboundMessage.Acknowledgement(proxy, mark, 130)));
                }
                events.add("traffic StewardId=0 Sidecar=" + p + " Qos=0 Total=40 Bad=0 Elapsed=100000\n");
                calls.add(() -> exchange.enqueueMessage(
                        proxies[proxy], new InboundMessage.RequestRateReport(proxy, 0, 40, 100)));
            }
            for (int h = 0; h < 4; h++) { // one host fails, later all are late, so that levels fall
                int host = h, bad = h == 1 && ms > 5000 && ms < 8000 ? 4 : 0;
                double mean = ms > 10_000 ? 900 : 100;
                events.add("tally StewardId=0 Host=s-" + h + " Dc=0 Total=5 Bad=" + bad + " Rtt="
                        + Math.round(mean * 1000) + "\n");
                calls.add(() -> exchange.enqueueMessage(
                        proxies[0], new InboundMessage.LoadReport("s-" + host, 0, 5, bad, mean, 500)));
            }
            at(ms, String.join("", events), () -> calls.forEach(Runnable::run));
            if (ms == 3050) {
                listed(
                        ms + 50,
                        false,
                        entry(0, State.TERMINATING, Double.NEGATIVE_INFINITY),
                        entry(4, State.READY, T0 + 2500));
            }
            if (ms == 4050) {
                listed(ms + 50, false, entry(0, State.GONE, Double.NEGATIVE_INFINITY));
            }
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorAdapter.run(
                new ByteArrayInputStream(wire.toString().getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out),
                System.err);
        WireFleet fleet = new WireFleet();
        int batch = 0;
        for (String line : out.toString(StandardCharsets.UTF_8).split("\n")) {
            if (line.equals("next")) {
                String saw = socketsSaw.get(batch++).replaceAll(" marks .*", "");
                assertEquals(fleet.seen(0) + "\n" + fleet.seen(1), saw, "after input " + batch);
            } else {
                fleet.take(line);
            }
        }
        assertEquals(socketsSaw.size(), batch);
        assertTrue(fleet.levels.toString().contains("admissionRatio=0.")); // the story did lower levels
        assertFalse(logged.toString().matches("(?s).*(WARN|ERROR).*"), logged.toString());
    }

    @Test
    void aLateEndOfAnOldStreamAndItsAnswersAreNotTheProxys() {
        steward = start(new Log(new PrintStream(logged)));
        steward.onHostList(new HostList(1, true, List.of(entry(0, State.READY, Double.NEGATIVE_INFINITY))));
        Seen old = proxies[0], fresh = proxies[1];
        exchange.enqueueMessage(old, new InboundMessage.Subscribe(0, 0, 1, true));
        steward.runRound(T0 + 10);
        assertEquals(1, old.marks.size());
        exchange.enqueueMessage(fresh, new InboundMessage.Subscribe(0, 0, 1, false));
        exchange.enqueueStreamClosed(old);
        steward.runRound(T0 + 20);
        assertTrue(old.closed != null);
        assertEquals(1, fresh.marks.size()); // bound anew on its new stream
        exchange.enqueueHostList(new HostList(2, false, List.of(entry(1, State.READY, Double.NEGATIVE_INFINITY))));
        for (int i = 3; i < 40; i++) {
            steward.runRound(T0 + 100 * i);
        }
        assertTrue(fresh.lines.get("order").containsKey("s-1")); // and told of changes still
        assertFalse(old.lines.get("order").containsKey("s-1"));
    }

    @Test
    void sumsOfAHostThatWasNeverListedPutItInNoOrder() {
        steward = start(new Log(new PrintStream(OutputStream.nullOutputStream())));
        steward.onHostList(new HostList(1, true, List.of(entry(0, State.READY, Double.NEGATIVE_INFINITY))));
        exchange.enqueueMessage(proxies[0], new InboundMessage.Subscribe(0, 0, 1, true));
        for (int i = 1; i < 60; i++) {
            exchange.enqueueMessage(proxies[1], new InboundMessage.LoadReport("s-9", 0, 50, 50, 0, 500));
            steward.runRound(T0 + 100 * i);
        }
        assertEquals("[s-0]", proxies[0].lines.get("order").keySet().toString());
        assertTrue(proxies[0].out.isEmpty());
    }

    @Test
    void aProxyThatAnswersNothingLeavesRoomForDrainsAndGetsThemToo() {
        start = START.replace("MostWaiting=1800.0", "MostWaiting=120.0");
        steward = start(new Log(new PrintStream(OutputStream.nullOutputStream())));
        HostList.Entry[] hosts = new HostList.Entry[20];
        for (int h = 0; h < hosts.length; h++) {
            hosts[h] = entry(h, State.READY, Double.NEGATIVE_INFINITY);
        }
        steward.onHostList(new HostList(1, true, List.of(hosts)));
        Seen silent = proxies[0], well = proxies[1];
        exchange.enqueueMessage(silent, new InboundMessage.Subscribe(0, 0, 1, true));
        exchange.enqueueMessage(well, new InboundMessage.Subscribe(1, 1, 1, true));
        steward.runRound(T0 + 10);
        for (int h = 0; h < 16; h++) {
            exchange.enqueueHostList(new HostList(2 + h, false, List.of(entry(h, State.TERMINATING, 0))));
            for (int i = 0; i < 10; i++) {
                steward.runRound(T0 + 6000 + 1000 * h + 100 * i);
                exchange.enqueueMessage(
                        well, new InboundMessage.Acknowledgement(1, well.marks.get(well.marks.size() - 1), 100));
            }
            assertTrue(well.out.contains("s-" + h), "s-" + h);
        }
        assertEquals(well.out, silent.out);
        assertEquals(well.marks, silent.marks); // and no table anew when it speaks
        assertEquals(null, silent.closed);
    }

    @Test
    void aFaultAtOneEntryOfAListLeavesOutThatEntryAndNobodyGoesForIt() {
        steward = start(new Log(new PrintStream(logged)));
        steward.onHostList(new HostList(
                1,
                true,
                List.of(
                        entry(0, State.READY, Double.NEGATIVE_INFINITY),
                        entry(1, State.READY, Double.NEGATIVE_INFINITY))));
        exchange.enqueueHostList(new HostList(
                2,
                true,
                List.of(
                        entry(0, State.READY, Double.NEGATIVE_INFINITY),
                        entry(1, null, 0),
                        entry(2, State.READY, Double.NEGATIVE_INFINITY))));
        exchange.enqueueMessage(proxies[0], new InboundMessage.Subscribe(0, 0, 1, true));
        steward.runRound(T0 + 10);
        assertEquals("[s-0, s-1, s-2]", proxies[0].lines.get("order").keySet().toString());
        assertEquals(
                1,
                logged.toString()
                        .lines()
                        .filter(l -> l.contains(" ERROR fault "))
                        .count());
    }

    @Test
    void aProxyThatCannotBeWrittenToKeepsNothingFromTheOthers() {
        steward = start(new Log(new PrintStream(logged)));
        steward.onHostList(new HostList(1, true, List.of(entry(0, State.READY, Double.NEGATIVE_INFINITY))));
        List<String> closed = new ArrayList<>();
        ProxyStream broken = new ProxyStream() {
            @Override
            public void write(ConfigurationUpdate order) {
                throw new IllegalStateException("a fault in writing");
            }

            @Override
            public void close(String why) {
                closed.add(why);
                throw new IllegalStateException("a fault in closing");
            }
        };
        exchange.enqueueMessage(broken, new InboundMessage.Subscribe(0, 0, 2, true)); // asked most: written to first
        exchange.enqueueMessage(proxies[1], new InboundMessage.Subscribe(1, 0, 1, true));
        steward.runRound(T0 + 10);
        assertEquals("[s-0]", proxies[1].lines.get("order").keySet().toString());
        assertEquals(List.of("can't be written to"), closed);
        exchange.enqueueMessage(
                proxies[0], new InboundMessage.Subscribe(0, 0, 2, false)); // its old stream can't be closed either
        exchange.enqueueHostList(new HostList(2, false, List.of(entry(1, State.READY, Double.NEGATIVE_INFINITY))));
        for (int i = 1; i < 40; i++) {
            steward.runRound(T0 + 100 * i); // and the thread goes on
        }
        assertTrue(proxies[0].lines.get("order").containsKey("s-0")
                && proxies[1].lines.get("order").containsKey("s-1"));
    }

    @Test
    void aProxyThatCannotBeTakenInIsLetGoAndDialsAgain() {
        steward = start(new Log(new PrintStream(logged)));
        exchange.enqueueMessage(
                proxies[0],
                new InboundMessage.Subscribe(99, 0, 1, true)); // no such proxy: the reader lets none through
        exchange.enqueueMessage(proxies[1], new InboundMessage.Subscribe(1, 0, 1, true));
        steward.runRound(T0 + 10);
        assertEquals("can't be taken in", proxies[0].closed);
        assertEquals(null, proxies[1].closed);
    }
}
