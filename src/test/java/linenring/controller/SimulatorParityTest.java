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
 * The decisions that the simulator scores must be the same as those sent to proxies. The test feeds the same events at the same times
 * to the simulator's adapter and to the event queue of a control loop. After each batch of events, the proxies must hold the same
 * configuration on both sides.
 */
class SimulatorParityTest {
    private static final double START_MS = 1_700_000_000_000.0;
    private static final double STARTED_LONG_AGO = Double.NEGATIVE_INFINITY;
    private static final int PROXIES = 2;
    private static final int HOSTS = 4;

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final List<AppliedConfiguration> proxies = List.of(new AppliedConfiguration(), new AppliedConfiguration());
    private final StringBuilder simulatorInput = new StringBuilder();
    /** Resulting configuration of the control loop's proxies, by batch. */
    private final List<String> configurations = new ArrayList<>();

    private final ControllerSettings settings = new ControllerSettings(ControllerSettings.DEFAULT_TEXT);
    private final ControlLoop controlLoop = new ControlLoop(
            SettingsReader.read(settings),
            SettingsReader.names(settings),
            null,
            eventQueue,
            new Log(new PrintStream(logOutput)),
            new Clock(Instant.ofEpochMilli((long) START_MS)));
    private int version = 1;

    @Test
    void sameEventsOnSimulatorAndEventQueueLeadToTheSameConfiguration() throws IOException {
        appendBatch(0, "provision StewardId=0 Entropy=7 " + ControllerSettings.DEFAULT_TEXT + "\n");
        configurations.add(configuration());
        listHosts(10, true, host(0, State.READY), host(1, State.READY), host(2, State.READY), host(3, State.READY));
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            subscribe(20 + proxy, proxy);
        }
        for (double offsetMs = 150; offsetMs < 16_000; offsetMs += 100) {
            acknowledgeAndReport(offsetMs);
            if (offsetMs == 3050) {
                HostList.Entry startedHost = new HostList.Entry("s-4", 0, 0, State.READY, 1, START_MS + 2500);
                listHosts(offsetMs + 50, false, host(0, State.TERMINATING), startedHost);
            } else if (offsetMs == 4050) {
                listHosts(offsetMs + 50, false, host(0, State.GONE));
            }
        }
        SimulatedProxies simulatedProxies = assertSameConfigurations();
        assertTrue(simulatedProxies.hasReducedAdmission(), "the events must have reduced admission");
        assertFalse(
                logOutput.toString(StandardCharsets.UTF_8).matches("(?s).*(WARN|ERROR).*"),
                logOutput.toString(StandardCharsets.UTF_8));
    }

    private static HostList.Entry host(int hostNumber, State state) {
        return new HostList.Entry("s-" + hostNumber, hostNumber % 2, 0, state, 1, STARTED_LONG_AGO);
    }

    private void subscribe(double offsetMs, int proxy) {
        eventQueue.enqueueMessage(proxies.get(proxy), new InboundMessage.Subscribe(proxy, proxy, 6.5, true));
        playOnBoth(offsetMs, "joined StewardId=0 Sidecar=" + proxy + " Flag=1 Dc=" + proxy + " Heft=6.5\n");
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
        for (int hostNumber = 0; hostNumber < HOSTS; hostNumber++) {
            reportLoad(offsetMs, hostNumber, events);
        }
        playOnBoth(offsetMs, events.toString());
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

    /** Reports failures of one host for some seconds, and later high latency of all hosts, which reduces admission. */
    private void reportLoad(double offsetMs, int hostNumber, StringBuilder events) {
        int failed = hostNumber == 1 && offsetMs > 5000 && offsetMs < 8000 ? 4 : 0;
        double meanMs = offsetMs > 10_000 ? 900 : 100;
        eventQueue.enqueueMessage(
                proxies.get(0), new InboundMessage.LoadReport("s-" + hostNumber, 0, 5, failed, meanMs, 500));
        events.append("tally StewardId=0 Host=s-")
                .append(hostNumber)
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
                    .append(modeName(entry.state()))
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
        playOnBoth(offsetMs, events.toString());
    }

    private static String modeName(State state) {
        return switch (state) {
            case READY -> "Running";
            case TERMINATING -> "Stopping";
            case GONE -> "Deleted";
        };
    }

    /** Appends the events to the simulator's input, and runs a round of the control loop for the queued events. */
    private void playOnBoth(double offsetMs, String events) {
        appendBatch(offsetMs, events);
        controlLoop.runRound(START_MS + offsetMs);
        configurations.add(configuration());
    }

    private void appendBatch(double offsetMs, String events) {
        long nowMicros = Math.round((START_MS + offsetMs) * 1000);
        simulatorInput
                .append("batch Now=")
                .append(nowMicros)
                .append('\n')
                .append(events)
                .append("eob\n");
    }

    private String configuration() {
        return proxies.get(0).summary() + "\n" + proxies.get(1).summary();
    }

    private SimulatedProxies assertSameConfigurations() throws IOException {
        ByteArrayOutputStream replies = new ByteArrayOutputStream();
        SimulatorAdapter.run(
                new ByteArrayInputStream(simulatorInput.toString().getBytes(StandardCharsets.UTF_8)),
                new PrintStream(replies),
                System.err);
        SimulatedProxies simulatedProxies = new SimulatedProxies();
        int batch = 0;
        for (String line : replies.toString(StandardCharsets.UTF_8).lines().toList()) {
            if (line.equals("next")) {
                String simulatedConfiguration = simulatedProxies.summary(0) + "\n" + simulatedProxies.summary(1);
                assertEquals(simulatedConfiguration, configurations.get(batch), "after batch " + batch);
                batch++;
            } else {
                simulatedProxies.apply(line);
            }
        }
        assertEquals(configurations.size(), batch);
        return simulatedProxies;
    }
}
