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

/** A proxy's stream in a test. It applies each update immediately and records the times of ejections and restorations. */
final class RecordingProxy implements ProxyStream {
    /** The nonce and write time of an update that has not been acknowledged yet. */
    record PendingAcknowledgement(int nonce, double writtenAtMs) {}

    private final int id;
    private final long streamNumber;
    private final DoubleSupplier clock;
    private final TreeMap<String, Double> weights = new TreeMap<>(); // weight by host
    private final TreeSet<String> ejected = new TreeSet<>();
    private final Map<String, List<Double>> ejectionTimesMs = new HashMap<>(); // ejection times by host
    private final Map<String, List<Double>> restorationTimesMs = new HashMap<>(); // restoration times by host
    private final Deque<PendingAcknowledgement> pendingAcknowledgements = new ArrayDeque<>();
    private int updateCount;
    private boolean isSilent;
    private String closeReason;

    RecordingProxy(int id, long number, DoubleSupplier clock) {
        this.id = id;
        this.streamNumber = number;
        this.clock = clock;
    }

    @Override
    public void write(ConfigurationUpdate update) {
        updateCount++;
        update.parts().forEach(this::apply);
    }

    private void apply(ConfigurationUpdate.Part part) {
        if (part.replacesTable()) {
            weights.clear();
        }
        part.entries().forEach(entry -> weights.put(entry.host(), entry.weight()));
        weights.values().removeIf(weight -> weight == 0);
        part.ejected().forEach(host -> recordTime(ejectionTimesMs, host));
        part.restored().forEach(host -> recordTime(restorationTimesMs, host));
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
    public long streamNumber() {
        return streamNumber;
    }

    int id() {
        return id;
    }

    /** Sets whether the proxy is silent. A silent proxy applies updates but does not acknowledge them. */
    void setSilent(boolean silent) {
        isSilent = silent;
    }

    boolean isSilent() {
        return isSilent;
    }

    /** Removes and returns the oldest pending acknowledgement if its update was written by {@code writtenByMs}, or empty. */
    Optional<PendingAcknowledgement> pollAcknowledgement(double writtenByMs) {
        PendingAcknowledgement oldest = pendingAcknowledgements.peek();
        return oldest != null && oldest.writtenAtMs() <= writtenByMs
                ? Optional.of(pendingAcknowledgements.poll())
                : Optional.empty();
    }

    int updateCount() {
        return updateCount;
    }

    /** Returns the reason for which the controller closed the stream, or null while the stream is open. */
    String closeReason() {
        return closeReason;
    }

    /** Returns the weights in the proxy's table, by host. */
    Map<String, Double> weights() {
        return Collections.unmodifiableMap(weights);
    }

    Set<String> ejected() {
        return Collections.unmodifiableSet(ejected);
    }

    /** Returns the ejection times of each host. */
    Map<String, List<Double>> ejectionTimesMs() {
        return Collections.unmodifiableMap(ejectionTimesMs);
    }

    /** Returns the restoration times of each host. */
    Map<String, List<Double>> restorationTimesMs() {
        return Collections.unmodifiableMap(restorationTimesMs);
    }

    /** Returns the weights of the hosts that the proxy can pick, by host. */
    Map<String, Double> pickableWeights() {
        TreeMap<String, Double> pickable = new TreeMap<>(weights);
        pickable.keySet().removeAll(ejected);
        return pickable;
    }
}
