package linenring.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import linenring.event.ProxyStream;
import linenring.protocol.ConfigurationUpdate;

/** A proxy's stream in a test: applies each update at once and records when hosts were ejected and restored. */
final class RecordingProxy implements ProxyStream {
    /** An update that asks for an acknowledgement, and when it was written. */
    record PendingAcknowledgement(int nonce, double writtenAtMs) {}

    private final int id;
    private final long number;
    private final DoubleSupplier clock;
    private final TreeMap<String, Double> weights = new TreeMap<>(); // by host
    private final TreeSet<String> ejected = new TreeSet<>();
    private final Map<String, List<Double>> ejectedAt = new HashMap<>(); // by host
    private final Map<String, List<Double>> restoredAt = new HashMap<>(); // by host
    private final Deque<PendingAcknowledgement> pendingAcknowledgements = new ArrayDeque<>();
    private int updates;
    private boolean isSilent;
    private String closeReason;

    RecordingProxy(int id, long number, DoubleSupplier clock) {
        this.id = id;
        this.number = number;
        this.clock = clock;
    }

    @Override
    public void write(ConfigurationUpdate update) {
        updates++;
        update.parts().forEach(this::apply);
    }

    private void apply(ConfigurationUpdate.Part part) {
        if (part.replacesTable()) {
            weights.clear();
        }
        part.entries().forEach(entry -> weights.put(entry.host(), entry.weight()));
        weights.values().removeIf(weight -> weight == 0);
        part.ejected().forEach(host -> recordTime(ejectedAt, host));
        part.restored().forEach(host -> recordTime(restoredAt, host));
        ejected.addAll(part.ejected());
        ejected.removeAll(part.restored());
        if (part.nonce() != ConfigurationUpdate.WITHOUT_NONCE) {
            pendingAcknowledgements.add(new PendingAcknowledgement(part.nonce(), clock.getAsDouble()));
        }
    }

    private void recordTime(Map<String, List<Double>> times, String host) {
        times.computeIfAbsent(host, ignored -> new ArrayList<>()).add(clock.getAsDouble());
    }

    @Override
    public void close(String reason) {
        closeReason = reason;
    }

    @Override
    public long number() {
        return number;
    }

    int id() {
        return id;
    }

    /** While it is silent it acknowledges nothing, but takes what it is sent. */
    void setSilent(boolean silent) {
        isSilent = silent;
    }

    boolean isSilent() {
        return isSilent;
    }

    /** The oldest acknowledgement that is due by its nonce, if it was written by then; it counts as given from now on. */
    Optional<PendingAcknowledgement> takeAcknowledgement(double writtenByMs) {
        PendingAcknowledgement oldest = pendingAcknowledgements.peek();
        return oldest != null && oldest.writtenAtMs() <= writtenByMs
                ? Optional.of(pendingAcknowledgements.poll())
                : Optional.empty();
    }

    int updates() {
        return updates;
    }

    /** Why the controller closed the stream; null while it has not. */
    String closeReason() {
        return closeReason;
    }

    /** The weights of its table, by host. */
    Map<String, Double> weights() {
        return Collections.unmodifiableMap(weights);
    }

    Set<String> ejected() {
        return Collections.unmodifiableSet(ejected);
    }

    /** The times of each host's ejections. */
    Map<String, List<Double>> ejectedAt() {
        return Collections.unmodifiableMap(ejectedAt);
    }

    /** The times of each host's restorations. */
    Map<String, List<Double>> restoredAt() {
        return Collections.unmodifiableMap(restoredAt);
    }

    /** The hosts that it can pick, with their weights. */
    Map<String, Double> pickable() {
        TreeMap<String, Double> open = new TreeMap<>(weights);
        open.keySet().removeAll(ejected);
        return open;
    }
}
