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
 * The planner and the fleet state with a model of the channel to the proxies. The channel sends one message after the other at a
 * limited rate, independently of the planner. Messages that are lost with a stream make room for later ones, and acknowledgements
 * arrive late or never. Times are milliseconds.
 */
final class ChannelModel {
    static final double ENTRIES_PER_MS = 1.2;
    static final double TRANSIT_MS = 150;
    static final double STEP_MS = 50;
    static final int MAX_MESSAGES = 30;
    private static final double MESSAGE_LIMIT_PERIOD_MS = 10_000;
    /** Entries counted for each message besides its contents: four for the message overhead and one for the nonce. */
    private static final int OVERHEAD_ENTRIES = 5;

    private static final int ZONES = 3;
    private static final List<String> OPERATIONS = List.of("quote", "book");

    /** A message in the channel. */
    private record Message(ModelStream stream, double entries, double sentAtMs, int nonce, double writtenAtMs) {
        boolean isLost() {
            return !stream.isOpen;
        }
    }

    private final FleetState fleetState;
    private final Planner planner;
    private final List<Message> queued = new ArrayList<>();
    private final List<Message> inTransit = new ArrayList<>();
    /** Messages in the order of writing, starting with the oldest unsent message. */
    private final ArrayDeque<Message> unsentInWriteOrder = new ArrayDeque<>();
    /** Write times of recent messages by proxy. */
    private final List<ArrayDeque<Double>> recentWritesMs = new ArrayList<>();
    /** Current stream by proxy; null before the first subscription. */
    private final List<ModelStream> streams = new ArrayList<>();
    /** Time at which the last proxy receives the ejection, by host. */
    private final Map<String, Double> ejectedAtMs = new TreeMap<>();

    private double nowMs = 1_000_000;
    private double idleFromMs;
    private double slowdown = 1;
    private double maxQueuedEntries;
    private double maxCountedEntries;
    private int maxMessagesInPeriod;
    private int acknowledgementCount;

    ChannelModel(int operations, double maxQueuedEntries, double graceMs, int maxMessages, int proxies) {
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()));
        fleetState = new FleetState(OPERATIONS.subList(0, operations), proxies, log);
        planner = new Planner(settings(operations, maxQueuedEntries, graceMs, maxMessages), fleetState);
        for (int proxy = 0; proxy < proxies; proxy++) {
            streams.add(null);
            recentWritesMs.add(new ArrayDeque<>());
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
                        MESSAGE_LIMIT_PERIOD_MS,
                        TRANSIT_MS,
                        3 * TRANSIT_MS,
                        graceMs),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.AdmissionUnit.SHARE,
                false,
                0,
                false,
                6);
    }

    /** A proxy's stream in the modelled channel. */
    private final class ModelStream implements ProxyStream {
        private final int proxy;
        private boolean isOpen = true;
        private boolean isSilent;

        private ModelStream(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void write(ConfigurationUpdate update) {
            double entries = OVERHEAD_ENTRIES + update.entryCount();
            idleFromMs = Math.max(nowMs, idleFromMs) + entries / (ENTRIES_PER_MS / slowdown);
            update.parts()
                    .forEach(part -> part.ejected()
                            .forEach(host -> ejectedAtMs.merge(host, idleFromMs + TRANSIT_MS, Math::max)));
            int nonce = update.parts().get(update.parts().size() - 1).nonce();
            Message message = new Message(this, entries, idleFromMs, nonce, nowMs);
            queued.add(message);
            unsentInWriteOrder.add(message);
            recordWrite();
        }

        private void recordWrite() {
            ArrayDeque<Double> times = recentWritesMs.get(proxy);
            times.removeIf(time -> time <= nowMs - MESSAGE_LIMIT_PERIOD_MS);
            times.add(nowMs);
            maxMessagesInPeriod = Math.max(maxMessagesInPeriod, times.size());
            maxQueuedEntries = Math.max(
                    maxQueuedEntries,
                    queued.stream().mapToDouble(Message::entries).sum());
            maxCountedEntries = Math.max(maxCountedEntries, countUnsentInWriteOrder());
        }

        @Override
        public void close(String reason) {
            endAndDropQueued();
        }

        private void endAndDropQueued() {
            isOpen = false;
            double lost = queued.stream()
                    .filter(message -> message.stream() == this)
                    .mapToDouble(Message::entries)
                    .sum();
            idleFromMs -= lost / (ENTRIES_PER_MS / slowdown);
            queued.removeIf(message -> message.stream() == this);
        }
    }

    /**
     * Returns the entries written since the oldest unsent message, including messages sent before it in the place of lost ones.
     */
    private double countUnsentInWriteOrder() {
        while (!unsentInWriteOrder.isEmpty()
                && (unsentInWriteOrder.peek().isLost()
                        || unsentInWriteOrder.peek().sentAtMs() <= nowMs)) {
            unsentInWriteOrder.poll();
        }
        return unsentInWriteOrder.stream()
                .filter(message -> !message.isLost())
                .mapToDouble(Message::entries)
                .sum();
    }

    double nowMs() {
        return nowMs;
    }

    /** Advances the clock by one step and delivers the acknowledgements due by then. */
    void beginRound() {
        nowMs += STEP_MS;
        planner.advanceClock(nowMs);
        deliverMessages();
    }

    /** Runs the planner's reconciliation and writes the updates. */
    void endRound() {
        planner.reconcile();
        fleetState.send();
    }

    void advance(double durationMs) {
        nowMs += durationMs;
        planner.advanceClock(nowMs);
    }

    private void deliverMessages() {
        queued.removeIf(message -> message.sentAtMs() <= nowMs && inTransit.add(message));
        List<Message> arrived = inTransit.stream()
                .filter(message -> message.sentAtMs() + TRANSIT_MS <= nowMs)
                .toList();
        inTransit.removeAll(arrived);
        for (Message message : arrived) {
            ModelStream stream = message.stream();
            if (stream.isOpen && !stream.isSilent && fleetState.isCurrentStream(stream.proxy, stream)) {
                planner.messageAcknowledged(stream.proxy, message.nonce(), nowMs - message.writtenAtMs());
                acknowledgementCount++;
            }
        }
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    boolean isConnected(int proxy) {
        return streams.get(proxy) != null && streams.get(proxy).isOpen;
    }

    /** Subscribes the proxy on a new stream, possibly before the end of its old stream is seen. */
    void connect(int proxy, boolean isNew, double usualRequestsPerSecond) {
        ModelStream stream = new ModelStream(proxy);
        streams.set(proxy, stream);
        fleetState.connect(proxy, stream, isNew);
        planner.proxyJoined(proxy, proxy % ZONES, usualRequestsPerSecond);
    }

    /** Subscribes the proxies with ids from {@code from}, inclusive, to {@code end}, exclusive. */
    void connectAll(int from, int end, boolean isNew) {
        IntStream.range(from, end).forEach(proxy -> connect(proxy, isNew, 1));
    }

    void disconnect(int proxy) {
        streams.get(proxy).endAndDropQueued();
        fleetState.disconnect(proxy);
        planner.proxyDisconnected(proxy);
    }

    /** Switches a proxy between silent and responsive. A silent proxy acknowledges no message. */
    void toggleSilence(int proxy) {
        streams.get(proxy).isSilent = !streams.get(proxy).isSilent;
    }

    /** Acknowledges the oldest message in the channel with an arbitrary elapsed time. */
    void acknowledgeOldest(double elapsedMs) {
        Message first = queued.get(0);
        planner.messageAcknowledged(first.stream().proxy, first.nonce(), elapsedMs);
    }

    /** Lists the hosts 0 to {@code hosts - 1} as the complete host list. */
    void listHosts(int hosts, double startedMs) {
        planner.advanceClock(nowMs);
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

    /** Reports ten requests to a host, of which {@code failed} have failed. */
    void report(int number, int failed, double meanLatencyMs) {
        planner.hostStatistics(number, number % ZONES, 10, failed, meanLatencyMs, 1000);
    }

    /** Returns the time at which the host's ejection reached the last proxy, or infinity if no ejection was sent. */
    double ejectedAtMs(String host) {
        return ejectedAtMs.getOrDefault(host, Double.POSITIVE_INFINITY);
    }

    /** Returns the highest number of entries queued at once. */
    double maxQueuedEntries() {
        return maxQueuedEntries;
    }

    /** Returns the maximum, over time, of the entries in the oldest message that is not sent yet and in all later ones. */
    double maxCountedEntries() {
        return maxCountedEntries;
    }

    /** Returns the highest number of messages to one proxy within the period of the message limit. */
    int maxMessagesInPeriod() {
        return maxMessagesInPeriod;
    }

    int acknowledgementCount() {
        return acknowledgementCount;
    }

    int queuedMessageCount() {
        return queued.size();
    }
}
