package linenring.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import linenring.event.ProxyStream;
import linenring.protocol.ConfigurationUpdate;

/** A proxy's stream as a test sees it: applies each message at once and records when hosts were shut out and let back. */
final class RecordingProxy implements ProxyStream {
    /** A mark that waits for its answer, and when its message was written. */
    record Mark(int number, double writtenAt) {}

    final int id;
    final TreeMap<String, Double> weights = new TreeMap<>(); // by host
    final TreeSet<String> ejected = new TreeSet<>();
    final Map<String, List<Double>> shutOutAt = new HashMap<>(), letBackAt = new HashMap<>(); // by host
    final Deque<Mark> unanswered = new ArrayDeque<>();
    int messages;
    boolean silent; // answers nothing any more, and takes what it is written
    String closed; // why the steward ended the stream, or null
    private final long number;
    private final DoubleSupplier clock;

    RecordingProxy(int id, long number, DoubleSupplier clock) {
        this.id = id;
        this.number = number;
        this.clock = clock;
    }

    @Override
    public long number() {
        return number;
    }

    @Override
    public void write(ConfigurationUpdate order) {
        messages++;
        for (ConfigurationUpdate.Part part : order.parts()) {
            if (part.replacesTable()) {
                weights.clear();
            }
            part.entries().forEach(line -> weights.put(line.host(), line.weight()));
            weights.values().removeIf(weight -> weight == 0);
            part.ejected().forEach(host -> record(shutOutAt, host));
            part.restored().forEach(host -> record(letBackAt, host));
            ejected.addAll(part.ejected());
            ejected.removeAll(part.restored());
            if (part.nonce() != ConfigurationUpdate.WITHOUT_NONCE) {
                unanswered.add(new Mark(part.nonce(), clock.getAsDouble()));
            }
        }
    }

    private void record(Map<String, List<Double>> events, String host) {
        events.computeIfAbsent(host, h -> new ArrayList<>()).add(clock.getAsDouble());
    }

    @Override
    public void close(String why) {
        closed = why;
    }

    /** The hosts it can pick, with their weights. */
    Map<String, Double> pickable() {
        TreeMap<String, Double> open = new TreeMap<>(weights);
        open.keySet().removeAll(ejected);
        return open;
    }
}
