package linenring.controller;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.Planner;
import linenring.planner.PlannerSettings;
import linenring.protocol.ConfigurationUpdate;

/**
 * The planner and the real fleet state before a channel that is modelled by itself: one message after the other at its own pace; what is
 * lost with a stream makes way for what comes later, and acknowledgements come late or never. Times are milliseconds.
 */
final class ChannelModel {
    static final double ENTRIES_PER_MS = 1.2;
    static final double TRANSIT_MS = 150;
    static final double STEP_MS = 50;
    static final int MAX_MESSAGES = 30;
    private static final double MESSAGES_PERIOD_MS = 10_000;
    /** A head that counts as four entries, and the nonce. */
    private static final int HEAD_ENTRIES = 5;

    private static final int ZONES = 3;
    private static final List<String> OPERATIONS = List.of("quote", "book");

    /** A message in the channel. */
    private record Message(Stream stream, double entries, double leavesAt, int nonce, double writtenAt) {
        boolean isLost() {
            return !stream.isOpen;
        }
    }

    private final FleetState fleetState;
    private final Planner planner;
    private final List<Message> queued = new ArrayList<>();
    private final List<Message> travelling = new ArrayList<>();
    private final ArrayDeque<Message> inOrder = new ArrayDeque<>(); // as written, from the first that has not left
    private final List<ArrayDeque<Double>> writtenAt = new ArrayList<>(); // by proxy
    private final List<Stream> streams = new ArrayList<>(); // by proxy; null before the first
    private final Map<String, Double> ejectedAt = new TreeMap<>(); // by host: when the last proxy has the ejection
    private double now = 1_000_000;
    private double freeAt;
    private double slowdown = 1;
    private double maxQueued;
    private double maxCounted;
    private int maxWritten;
    private int acknowledged;

    ChannelModel(int operations, double maxQueuedEntries, double graceMs, int maxMessages, int proxies) {
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
        fleetState = new FleetState(OPERATIONS.subList(0, operations), proxies, log);
        planner = new Planner(settings(operations, maxQueuedEntries, graceMs, maxMessages), fleetState);
        for (int proxy = 0; proxy < proxies; proxy++) {
            streams.add(null);
            writtenAt.add(new ArrayDeque<>());
        }
    }

    private static PlannerSettings settings(int operations, double maxQueuedEntries, double graceMs, int maxMessages) {
        return new PlannerSettings(
                IntStream.rangeClosed(1, operations)
                        .mapToObj(value -> new PlannerSettings.Operation(1000, value, -1, -1, false, ZONES))
                        .toList(),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(
                        1000 * ENTRIES_PER_MS,
                        4,
                        maxQueuedEntries,
                        maxMessages,
                        MESSAGES_PERIOD_MS,
                        TRANSIT_MS,
                        3 * TRANSIT_MS,
                        graceMs),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
    }

    /** One proxy's stream. */
    private final class Stream implements ProxyStream {
        private final int proxy;
        private boolean isOpen = true;
        private boolean isSilent;

        private Stream(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void write(ConfigurationUpdate update) {
            double entries = HEAD_ENTRIES + update.entryCount();
            freeAt = Math.max(now, freeAt) + entries / (ENTRIES_PER_MS / slowdown);
            update.parts()
                    .forEach(part ->
                            part.ejected().forEach(host -> ejectedAt.merge(host, freeAt + TRANSIT_MS, Math::max)));
            int nonce = update.parts().get(update.parts().size() - 1).nonce();
            Message message = new Message(this, entries, freeAt, nonce, now);
            queued.add(message);
            inOrder.add(message);
            recordWrite();
        }

        private void recordWrite() {
            ArrayDeque<Double> times = writtenAt.get(proxy);
            times.removeIf(time -> time <= now - MESSAGES_PERIOD_MS);
            times.add(now);
            maxWritten = Math.max(maxWritten, times.size());
            maxQueued = Math.max(
                    maxQueued, queued.stream().mapToDouble(Message::entries).sum());
            maxCounted = Math.max(maxCounted, countedInOrder());
        }

        @Override
        public void close(String reason) {
            end();
        }

        private void end() {
            isOpen = false;
            double lost = queued.stream()
                    .filter(message -> message.stream() == this)
                    .mapToDouble(Message::entries)
                    .sum();
            freeAt -= lost / (ENTRIES_PER_MS / slowdown);
            queued.removeIf(message -> message.stream() == this);
        }
    }

    /** The entries from the first message on that has not left; what overtakes it in the place of lost ones counts until then. */
    private double countedInOrder() {
        while (!inOrder.isEmpty() && (inOrder.peek().isLost() || inOrder.peek().leavesAt() <= now)) {
            inOrder.poll();
        }
        return inOrder.stream()
                .filter(message -> !message.isLost())
                .mapToDouble(Message::entries)
                .sum();
    }

    // ---- time

    double now() {
        return now;
    }

    /** Time passes, and acknowledgements arrive. */
    void beginRound() {
        now += STEP_MS;
        planner.advanceClock(now);
        deliver();
    }

    /** The planner decides, and updates are written. */
    void endRound() {
        planner.reconcile();
        fleetState.send();
    }

    void skip(double durationMs) {
        now += durationMs;
        planner.advanceClock(now);
    }

    private void deliver() {
        queued.removeIf(message -> message.leavesAt() <= now && travelling.add(message));
        List<Message> arrived = travelling.stream()
                .filter(message -> message.leavesAt() + TRANSIT_MS <= now)
                .toList();
        travelling.removeAll(arrived);
        for (Message message : arrived) {
            Stream stream = message.stream();
            if (stream.isOpen && !stream.isSilent && fleetState.isCurrent(stream.proxy, stream)) {
                planner.messageAcknowledged(stream.proxy, message.nonce(), now - message.writtenAt());
                acknowledged++;
            }
        }
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    // ---- proxies

    boolean isConnected(int proxy) {
        return streams.get(proxy) != null && streams.get(proxy).isOpen;
    }

    /** The proxy subscribes on a new stream; the end of an earlier one need not have been seen. */
    void connect(int proxy, boolean isNew, double usualRequestsPerSecond) {
        Stream stream = new Stream(proxy);
        streams.set(proxy, stream);
        fleetState.connect(proxy, stream, isNew);
        planner.proxyJoined(proxy, proxy % ZONES, usualRequestsPerSecond);
    }

    /** All proxies from the one on up to the other. */
    void connectAll(int from, int end, boolean isNew) {
        IntStream.range(from, end).forEach(proxy -> connect(proxy, isNew, 1));
    }

    void disconnect(int proxy) {
        streams.get(proxy).end();
        fleetState.disconnect(proxy);
        planner.proxyDisconnected(proxy);
    }

    /** A silent proxy acknowledges nothing. */
    void toggleSilence(int proxy) {
        streams.get(proxy).isSilent = !streams.get(proxy).isSilent;
    }

    /** The oldest message in the channel is acknowledged, with a time of the proxy's choice. */
    void acknowledgeFirst(double elapsedMs) {
        Message first = queued.get(0);
        planner.messageAcknowledged(first.stream().proxy, first.nonce(), elapsedMs);
    }

    // ---- hosts

    /** The complete list of the hosts from 0 to {@code hosts} - 1. */
    void listAll(int hosts, double startedMs) {
        planner.advanceClock(now);
        planner.beginHostList(true);
        IntStream.range(0, hosts).forEach(number -> ready(number, startedMs));
        planner.endHostList();
    }

    void beginChanges() {
        planner.beginHostList(false);
    }

    void ready(int number, double startedMs) {
        planner.hostReady(fleetState.hostIds().assign("s-" + number), number % ZONES, 0, 1, startedMs);
    }

    void drain(int number) {
        planner.hostDraining(number, number % ZONES, 0, 1);
    }

    void endChanges() {
        planner.endHostList();
    }

    /** Of ten requests to the host {@code failed} have failed. */
    void report(int number, int failed, double meanLatencyMs) {
        planner.hostStatistics(number, number % ZONES, 10, failed, meanLatencyMs, 1000);
    }

    // ---- what was seen

    /** When the last proxy had the host's ejection; infinity where it was not sent. */
    double ejectedAt(String host) {
        return ejectedAt.getOrDefault(host, Double.POSITIVE_INFINITY);
    }

    /** The most entries that were queued at once. */
    double maxQueued() {
        return maxQueued;
    }

    /** The most entries from the first message that had not left, in the order of writing. */
    double maxCounted() {
        return maxCounted;
    }

    /** The most messages to one proxy in the period that the limit counts. */
    int maxWritten() {
        return maxWritten;
    }

    int acknowledged() {
        return acknowledged;
    }

    int queuedMessages() {
        return queued.size();
    }
}
