package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.protocol.InboundMessage;
import linenring.settings.SettingsReader;
import linenring.simulator.SimulatorAdapter;
import org.junit.jupiter.api.Test;

/**
 * What the simulator scores must be what proxies are sent. The same events go over the simulator's wire and over the event queue, at
 * the same times; after each of them the proxies must hold the same configuration on both.
 */
class SimulatorParityTest {
    private static final double START_MS = 1_700_000_000_000.0;
    private static final double LONG_AGO = Double.NEGATIVE_INFINITY;
    private static final int PROXIES = 2;
    private static final int HOSTS = 4;

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final List<AppliedConfiguration> proxies = List.of(new AppliedConfiguration(), new AppliedConfiguration());
    private final StringBuilder wire = new StringBuilder();
    private final List<String> configurations = new ArrayList<>(); // of the proxies on the event queue, by batch
    private final ControllerSettings settings = new ControllerSettings(ControllerSettings.TEXT);
    private final ControlLoop controlLoop = new ControlLoop(
            SettingsReader.read(settings),
            SettingsReader.names(settings),
            null,
            eventQueue,
            new Log(new PrintStream(logged)),
            new Clock(Instant.ofEpochMilli((long) START_MS)));
    private int version = 1;

    @Test
    void sameEventsOnBothWiresLeadToTheSameConfiguration() throws IOException {
        batch(0, "provision StewardId=0 Entropy=7 " + ControllerSettings.TEXT + "\n");
        configurations.add(configuration());
        listHosts(10, true, host(0, State.READY), host(1, State.READY), host(2, State.READY), host(3, State.READY));
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            subscribe(20 + proxy, proxy);
        }
        for (double offsetMs = 150; offsetMs < 16_000; offsetMs += 100) {
            acknowledgeAndReport(offsetMs);
            if (offsetMs == 3050) {
                HostList.Entry started = new HostList.Entry("s-4", 0, 0, State.READY, 1, START_MS + 2500);
                listHosts(offsetMs + 50, false, host(0, State.TERMINATING), started);
            } else if (offsetMs == 4050) {
                listHosts(offsetMs + 50, false, host(0, State.GONE));
            }
        }
        SimulatedProxies fleet = assertSameConfigurations();
        assertTrue(fleet.hasReducedAdmission(), "the events did reduce admission");
        assertFalse(
                logged.toString(StandardCharsets.UTF_8).matches("(?s).*(WARN|ERROR).*"),
                logged.toString(StandardCharsets.UTF_8));
    }

    private static HostList.Entry host(int number, State state) {
        return new HostList.Entry("s-" + number, number % 2, 0, state, 1, LONG_AGO);
    }

    private void subscribe(double offsetMs, int proxy) {
        eventQueue.enqueueMessage(proxies.get(proxy), new InboundMessage.Subscribe(proxy, proxy, 6.5, true));
        play(offsetMs, "joined StewardId=0 Sidecar=" + proxy + " Flag=1 Dc=" + proxy + " Heft=6.5\n");
    }

    private void acknowledgeAndReport(double offsetMs) {
        StringBuilder events = new StringBuilder("elapsed StewardId=0 Handle=1\n");
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            acknowledge(proxy, events);
            eventQueue.enqueueMessage(proxies.get(proxy), new InboundMessage.RequestRateReport(proxy, 0, 40, 100));
            events.append("traffic StewardId=0 Sidecar=")
                    .append(proxy)
                    .append(" Qos=0 Total=40 Bad=0 Elapsed=100000\n");
        }
        for (int number = 0; number < HOSTS; number++) {
            reportLoad(offsetMs, number, events);
        }
        play(offsetMs, events.toString());
    }

    private void acknowledge(int proxy, StringBuilder events) {
        List<Integer> nonces = proxies.get(proxy).nonces();
        if (!nonces.isEmpty()) {
            int nonce = nonces.get(nonces.size() - 1);
            eventQueue.enqueueMessage(proxies.get(proxy), new InboundMessage.Acknowledgement(proxy, nonce, 130));
            events.append("in_force StewardId=0 Sidecar=")
                    .append(proxy)
                    .append(" Rev=")
                    .append(nonce)
                    .append(" Rtt=130000\n");
        }
    }

    /** One host fails for a while; later all are slow, so that admission is reduced. */
    private void reportLoad(double offsetMs, int number, StringBuilder events) {
        int failed = number == 1 && offsetMs > 5000 && offsetMs < 8000 ? 4 : 0;
        double meanMs = offsetMs > 10_000 ? 900 : 100;
        eventQueue.enqueueMessage(
                proxies.get(0), new InboundMessage.LoadReport("s-" + number, 0, 5, failed, meanMs, 500));
        events.append("tally StewardId=0 Host=s-")
                .append(number)
                .append(" Dc=0 Total=5 Bad=")
                .append(failed)
                .append(" Rtt=")
                .append(Math.round(meanMs * 1000))
                .append('\n');
    }

    private void listHosts(double offsetMs, boolean isComplete, HostList.Entry... entries) {
        StringBuilder events = new StringBuilder("catalog Bank=0 Items=" + entries.length + "\n");
        for (HostList.Entry entry : entries) {
            events.append("entry Host=")
                    .append(entry.host())
                    .append(" Dc=")
                    .append(entry.zone())
                    .append(" Model=0 Heft=1 Mode=")
                    .append(mode(entry.state()))
                    .append(entry.startedMs() > 0 ? " StartTime=" + Math.round(entry.startedMs() * 1000) : "")
                    .append('\n');
        }
        events.append("registry StewardId=0 Bank=0 Rev=")
                .append(version)
                .append(" Scope=")
                .append(isComplete ? "whole" : "patch")
                .append('\n');
        version++;
        eventQueue.enqueueHostList(new HostList(version, isComplete, List.of(entries)));
        play(offsetMs, events.toString());
    }

    private static String mode(State state) {
        return switch (state) {
            case READY -> "Running";
            case TERMINATING -> "Stopping";
            case GONE -> "Deleted";
        };
    }

    /** The events go over the wire, while those that are queued are handled. */
    private void play(double offsetMs, String events) {
        batch(offsetMs, events);
        controlLoop.runRound(START_MS + offsetMs);
        configurations.add(configuration());
    }

    private void batch(double offsetMs, String events) {
        long nowMicros = Math.round((START_MS + offsetMs) * 1000);
        wire.append("batch Now=").append(nowMicros).append('\n').append(events).append("eob\n");
    }

    private String configuration() {
        return proxies.get(0).summary() + "\n" + proxies.get(1).summary();
    }

    private SimulatedProxies assertSameConfigurations() throws IOException {
        ByteArrayOutputStream replies = new ByteArrayOutputStream();
        SimulatorAdapter.run(
                new ByteArrayInputStream(wire.toString().getBytes(StandardCharsets.UTF_8)),
                new PrintStream(replies),
                System.err);
        SimulatedProxies fleet = new SimulatedProxies();
        int batch = 0;
        for (String line : replies.toString(StandardCharsets.UTF_8).lines().toList()) {
            if (line.equals("next")) {
                String onWire = fleet.summary(0) + "\n" + fleet.summary(1);
                assertEquals(onWire, configurations.get(batch), "after batch " + batch);
                batch++;
            } else {
                fleet.apply(line);
            }
        }
        assertEquals(configurations.size(), batch);
        return fleet;
    }
}
