package linenring.controller;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;

/**
 * A complete control loop (planner, fleet state and event queue) with a clock that the test advances, and proxies that record their
 * updates and acknowledge each update after the channel's transit time.
 */
final class ControlLoopFixture {
    static final double START_MS = 1_700_000_000_000.0;
    static final double STEP_MS = 50;
    static final double TRANSIT_MS = 150;
    static final double GRACE_MS = 2000;
    static final double STARTED_LONG_AGO = Double.NEGATIVE_INFINITY;
    /** Tolerance that the protocol grants on time limits when updates travel over sockets. */
    static final double SOCKET_TOLERANCE_MS = 300;

    private static final int MAX_MESSAGES = 30;
    private static final double ENTRIES_PER_SECOND = 1200;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final EventQueue eventQueue = new EventQueue();
    private final List<RecordingProxy> proxies = new ArrayList<>();
    private final ControlLoop controlLoop;
    private double nowMs = START_MS;

    ControlLoopFixture(HostList initialHosts, int proxyCount) {
        this(initialHosts, proxyCount, 22.0 * proxyCount + 1000);
    }

    /** Creates a control loop whose channel may queue at most {@code maxQueuedEntries}. */
    ControlLoopFixture(HostList initialHosts, int proxyCount, double maxQueuedEntries) {
        Names names = new Names(ZONES, List.of("m1"), List.of("lookup"), proxyCount, 4);
        controlLoop = new ControlLoop(
                settings(maxQueuedEntries),
                names,
                initialHosts,
                eventQueue,
                new Log(new PrintStream(OutputStream.nullOutputStream())),
                new Clock(Instant.ofEpochMilli((long) START_MS)));
    }

    /**
     * Returns settings with one operation, which all hosts may run, and a channel that may queue at most {@code
     * maxQueuedEntries}.
     */
    static PlannerSettings settings(double maxQueuedEntries) {
        return new PlannerSettings(
                List.of(new PlannerSettings.Operation(1000, 1, -1, -1, false, ZONES.size())),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(
                        ENTRIES_PER_SECOND,
                        4,
                        maxQueuedEntries,
                        MAX_MESSAGES,
                        10_000,
                        TRANSIT_MS,
                        2 * TRANSIT_MS,
                        GRACE_MS),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.AdmissionUnit.SHARE,
                false,
                0,
                false,
                6);
    }

    EventQueue eventQueue() {
        return eventQueue;
    }

    /** Returns the latest stream of each proxy, by proxy id. */
    List<RecordingProxy> proxies() {
        return Collections.unmodifiableList(proxies);
    }

    double nowMs() {
        return nowMs;
    }

    /** Subscribes the proxies with ids below {@code count} at once. */
    ControlLoopFixture joinAll(int count, boolean isNew) {
        IntStream.range(0, count).forEach(id -> join(id, isNew));
        return this;
    }

    /** Subscribes the proxy on a new stream, without an event for the end of its earlier stream. */
    RecordingProxy join(int id, boolean isNew) {
        RecordingProxy proxy = new RecordingProxy(id, eventQueue.nextStreamNumber(), this::nowMs);
        if (id < proxies.size()) {
            proxies.set(id, proxy);
        } else {
            proxies.add(proxy);
        }
        eventQueue.enqueueMessage(proxy, new InboundMessage.Subscribe(id, id % ZONES.size(), 5, isNew));
        return proxy;
    }

    /** Advances the clock in steps; in each step all proxies that are not silent acknowledge their updates. */
    ControlLoopFixture advance(double durationMs) {
        for (double end = nowMs + durationMs; nowMs < end; ) {
            nowMs += STEP_MS;
            proxies.stream().filter(proxy -> !proxy.isSilent()).forEach(this::acknowledge);
            controlLoop.runRound(nowMs);
        }
        return this;
    }

    private void acknowledge(RecordingProxy proxy) {
        Optional<RecordingProxy.PendingAcknowledgement> dueAcknowledgement =
                proxy.pollAcknowledgement(nowMs - TRANSIT_MS);
        while (dueAcknowledgement.isPresent()) {
            double elapsedMs = nowMs - dueAcknowledgement.get().writtenAtMs();
            eventQueue.enqueueMessage(
                    proxy,
                    new InboundMessage.Acknowledgement(
                            proxy.id(), dueAcknowledgement.get().nonce(), elapsedMs));
            dueAcknowledgement = proxy.pollAcknowledgement(nowMs - TRANSIT_MS);
        }
    }

    int hostIdCount() {
        return controlLoop.hostIdCount();
    }

    /** Reports the outcomes of requests from one zone's proxies to a host within the last second. */
    void reportLoad(int zone, String host, int requests, int failed, double meanLatencyMs) {
        eventQueue.enqueueMessage(
                null, new InboundMessage.LoadReport(host, zone, requests, failed, meanLatencyMs, 1000));
    }

    static HostList.Entry host(int number, State state, double startedMs) {
        return new HostList.Entry("s-" + number, number % ZONES.size(), 0, state, 1, startedMs);
    }

    /** Returns a complete list of the hosts 0 to {@code count - 1}, all of which are warm. */
    static HostList warmHosts(long version, int count) {
        return new HostList(
                version,
                true,
                IntStream.range(0, count)
                        .mapToObj(number -> host(number, State.READY, STARTED_LONG_AGO))
                        .toList());
    }
}
