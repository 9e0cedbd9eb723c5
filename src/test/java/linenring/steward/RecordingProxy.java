package linenring.steward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import linenring.exchange.Stream;
import linenring.message.Order;

/** A proxy's stream as a test sees it: applies each message at once and records when hosts were shut out and let back. */
final class RecordingProxy implements Stream {
    /** A mark that waits for its answer, and when its message was written. */
    record Mark(int number, double writtenAt) {}

    final int id;
    final TreeMap<String, Double> weights = new TreeMap<>(); // by host
    final TreeSet<String> shutOut = new TreeSet<>();
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
    public void write(Order order) {
        messages++;
        for (Order.Part part : order.parts()) {
            if (part.whole()) {
                weights.clear();
            }
            part.lines().forEach(line -> weights.put(line.host(), line.weight()));
            weights.values().removeIf(weight -> weight == 0);
            part.shutOut().forEach(host -> record(shutOutAt, host));
            part.letBack().forEach(host -> record(letBackAt, host));
            shutOut.addAll(part.shutOut());
            shutOut.removeAll(part.letBack());
            if (part.mark() != Order.NO_MARK) {
                unanswered.add(new Mark(part.mark(), clock.getAsDouble()));
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
        open.keySet().removeAll(shutOut);
        return open;
    }
}
