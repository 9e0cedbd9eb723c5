package linenring.controller;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;

/**
 * A whole steward (decisions, books, exchange) on a clock that the test moves, beside proxies that record what they are sent and
 * answer each mark after the channel's transit time.
 */
final class ControlLoopFixture {
    static final double START_MS = 1_700_000_000_000.0;
    static final double STEP_MS = 50;
    static final double TRANSIT_MS = 150;
    static final double GRACE_MS = 2000;
    static final double LONG_AGO = Double.NEGATIVE_INFINITY;
    /** The protocol's: limits of rules are so much longer on sockets. */
    static final double SOCKET_SLACK_MS = 300;

    private static final int MESSAGES_MOST = 30;
    private static final double PACE_PER_SECOND = 1200;
    private static final List<String> ZONES = List.of("a", "b", "c");

    final EventQueue exchange = new EventQueue();
    final List<RecordingProxy> proxies = new ArrayList<>(); // the latest stream of each, by id
    private final ControlLoop steward;
    private double now = START_MS;

    ControlLoopFixture(HostList known, int proxyCount) {
        this(known, proxyCount, 22.0 * proxyCount + 1000);
    }

    /** With a channel in which at most so many lines may wait. */
    ControlLoopFixture(HostList known, int proxyCount, double mostWaiting) {
        PlannerSettings figures = new PlannerSettings(
                List.of(new PlannerSettings.Operation(1000, 1, -1, -1, false, ZONES.size())),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(
                        PACE_PER_SECOND, 4, mostWaiting, MESSAGES_MOST, 10_000, TRANSIT_MS, 2 * TRANSIT_MS, GRACE_MS),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
        Names names = new Names(ZONES, List.of("m1"), List.of("lookup"), proxyCount, 4);
        steward = new ControlLoop(
                figures,
                names,
                known,
                exchange,
                new Log(new PrintStream(OutputStream.nullOutputStream())),
                new Clock(Instant.ofEpochMilli((long) START_MS)));
    }

    double now() {
        return now;
    }

    /** All proxies up to this number join at once. */
    ControlLoopFixture joinAll(int count, boolean fresh) {
        IntStream.range(0, count).forEach(id -> join(id, fresh));
        return this;
    }

    /** The proxy joins on a new stream; the end of an earlier one is not told. */
    RecordingProxy join(int id, boolean fresh) {
        RecordingProxy proxy = new RecordingProxy(id, exchange.nextStreamNumber(), this::now);
        if (id < proxies.size()) {
            proxies.set(id, proxy);
        } else {
            proxies.add(proxy);
        }
        exchange.enqueueMessage(proxy, new InboundMessage.Subscribe(id, id % ZONES.size(), 5, fresh));
        return proxy;
    }

    /** Lets time pass in steps; whoever is not silent answers its marks. */
    ControlLoopFixture pass(double ms) {
        for (double end = now + ms; now < end; ) {
            now += STEP_MS;
            proxies.stream().filter(proxy -> !proxy.silent).forEach(this::answer);
            steward.runRound(now);
        }
        return this;
    }

    private void answer(RecordingProxy proxy) {
        while (!proxy.unanswered.isEmpty() && proxy.unanswered.peek().writtenAt() + TRANSIT_MS <= now) {
            RecordingProxy.Mark mark = proxy.unanswered.poll();
            exchange.enqueueMessage(
                    proxy, new InboundMessage.Acknowledgement(proxy.id, mark.number(), now - mark.writtenAt()));
        }
    }

    int hostIds() {
        return steward.hostIdCount();
    }

    /** What the proxies of a zone met at a host within the last second. */
    void report(int zone, String host, int total, int failed, double meanMs) {
        exchange.enqueueMessage(null, new InboundMessage.LoadReport(host, zone, total, failed, meanMs, 1000));
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
                        .mapToObj(h -> host(h, State.READY, LONG_AGO))
                        .toList());
    }
}
