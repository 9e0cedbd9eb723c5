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
 * A complete control loop (planner, fleet state, event queue) on a clock that the test advances, beside proxies that record what
 * they are sent and acknowledge each update after the channel's transit time.
 */
final class ControlLoopFixture {
    static final double START_MS = 1_700_000_000_000.0;
    static final double STEP_MS = 50;
    static final double TRANSIT_MS = 150;
    static final double GRACE_MS = 2000;
    static final double LONG_AGO = Double.NEGATIVE_INFINITY;
    /** The protocol's: limits of rules are longer by this on sockets. */
    static final double SOCKET_SLACK_MS = 300;

    private static final int MAX_MESSAGES = 30;
    private static final double ENTRIES_PER_SECOND = 1200;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final EventQueue eventQueue = new EventQueue();
    private final List<RecordingProxy> proxies = new ArrayList<>();
    private final ControlLoop controlLoop;
    private double now = START_MS;

    ControlLoopFixture(HostList known, int proxyCount) {
        this(known, proxyCount, 22.0 * proxyCount + 1000);
    }

    /** With a channel in which at most {@code maxQueuedEntries} may be queued. */
    ControlLoopFixture(HostList known, int proxyCount, double maxQueuedEntries) {
        Names names = new Names(ZONES, List.of("m1"), List.of("lookup"), proxyCount, 4);
        controlLoop = new ControlLoop(
                settings(maxQueuedEntries),
                names,
                known,
                eventQueue,
                new Log(new PrintStream(OutputStream.nullOutputStream())),
                new Clock(Instant.ofEpochMilli((long) START_MS)));
    }

    /** One operation that is open to all hosts, and a channel in which at most {@code maxQueuedEntries} may be queued. */
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
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
    }

    EventQueue eventQueue() {
        return eventQueue;
    }

    /** The latest stream of each proxy, by its id. */
    List<RecordingProxy> proxies() {
        return Collections.unmodifiableList(proxies);
    }

    double now() {
        return now;
    }

    /** All proxies below this number subscribe at once. */
    ControlLoopFixture joinAll(int count, boolean isNew) {
        IntStream.range(0, count).forEach(id -> join(id, isNew));
        return this;
    }

    /** The proxy subscribes on a new stream; the end of an earlier one is not seen. */
    RecordingProxy join(int id, boolean isNew) {
        RecordingProxy proxy = new RecordingProxy(id, eventQueue.nextStreamNumber(), this::now);
        if (id < proxies.size()) {
            proxies.set(id, proxy);
        } else {
            proxies.add(proxy);
        }
        eventQueue.enqueueMessage(proxy, new InboundMessage.Subscribe(id, id % ZONES.size(), 5, isNew));
        return proxy;
    }

    /** Lets time pass in steps; whoever is not silent acknowledges its updates. */
    ControlLoopFixture pass(double durationMs) {
        for (double end = now + durationMs; now < end; ) {
            now += STEP_MS;
            proxies.stream().filter(proxy -> !proxy.isSilent()).forEach(this::acknowledge);
            controlLoop.runRound(now);
        }
        return this;
    }

    private void acknowledge(RecordingProxy proxy) {
        Optional<RecordingProxy.PendingAcknowledgement> due = proxy.takeAcknowledgement(now - TRANSIT_MS);
        while (due.isPresent()) {
            double elapsedMs = now - due.get().writtenAtMs();
            eventQueue.enqueueMessage(
                    proxy,
                    new InboundMessage.Acknowledgement(proxy.id(), due.get().nonce(), elapsedMs));
            due = proxy.takeAcknowledgement(now - TRANSIT_MS);
        }
    }

    int hostIdCount() {
        return controlLoop.hostIdCount();
    }

    /** How the requests of one zone's proxies to a host ended within the last second. */
    void report(int zone, String host, int requests, int failed, double meanLatencyMs) {
        eventQueue.enqueueMessage(
                null, new InboundMessage.LoadReport(host, zone, requests, failed, meanLatencyMs, 1000));
    }

    static HostList.Entry host(int number, State state, double startedMs) {
        return new HostList.Entry("s-" + number, number % ZONES.size(), 0, state, 1, startedMs);
    }

    /** Hosts 0 to {@code count - 1}, ready since long ago. */
    static HostList warmHosts(long version, int count) {
        return new HostList(
                version,
                true,
                IntStream.range(0, count)
                        .mapToObj(number -> host(number, State.READY, LONG_AGO))
                        .toList());
    }
}
