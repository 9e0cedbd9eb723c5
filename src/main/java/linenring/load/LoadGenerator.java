package linenring.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import linenring.testserver.FrameConnection;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/**
 * Generates load on an HTTP/2 port, either at a constant rate (open loop) or with a constant concurrency (closed loop).
 * At a constant rate, latency is measured from the scheduled time of a call, so that a stall counts for all calls that it
 * delays (no coordinated omission).
 */
public final class LoadGenerator {
    /**
     * Template of the requests of one operation.
     *
     * @param operation         name of the operation in the results
     * @param method            HTTP method of the request
     * @param path              path of the request
     * @param weight            relative frequency among all calls
     * @param hasIdempotencyKey whether each request carries a unique idempotency key in the header x-mark
     */
    public record CallTemplate(
            String operation, String method, String path, double weight, boolean hasIdempotencyKey) {}

    /**
     * Parameters of one load.
     *
     * @param address           IP address to connect to
     * @param port              port to connect to
     * @param callTemplates     request templates, chosen at random by weight
     * @param callsPerSecond    constant rate of calls, or 0 for a constant number of calls in flight
     * @param concurrency       number of calls in flight if {@code callsPerSecond} is 0
     * @param connections       number of connections, used in rotation
     * @param measuredSeconds   duration of the measurement
     * @param warmUpSeconds     duration of the load before the measurement starts
     * @param responseTimeoutMs maximum wait for outstanding responses after the last call
     * @param seed              random seed for the choice of calls and the idempotency keys
     */
    public record Plan(
            String address,
            int port,
            List<CallTemplate> callTemplates,
            double callsPerSecond,
            int concurrency,
            int connections,
            double measuredSeconds,
            double warmUpSeconds,
            long responseTimeoutMs,
            long seed) {
        private boolean hasRate() {
            return callsPerSecond > 0;
        }
    }

    /** Outcomes of all measured calls by operation, and the duration of the measurement. */
    public record Outcomes(Map<String, CallOutcomes> byOperation, double seconds) {
        /** Returns the number of calls of all operations that received a response, with any status. */
        public long answeredCalls() {
            return byOperation.values().stream()
                    .mapToLong(CallOutcomes::answeredCalls)
                    .sum();
        }
    }

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long POLL_INTERVAL_MS = 5;
    private static final long ACQUIRE_TIMEOUT_MS = 100;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double P99_PERCENTILE = 99;
    private static final double P999_PERCENTILE = 99.9;

    private final Plan plan;
    private final byte[][] headerBlockByTemplate; // shared by all requests without an idempotency key
    private final SplittableRandom templateRandom; // used only by the sending thread
    private final SplittableRandom keyRandom; // used only by the sending thread
    private final List<CallOutcomes> outcomesByTemplate = new ArrayList<>(); // guarded by its own monitor
    private final Semaphore concurrencyPermits; // used only at constant concurrency
    private final LoadConnection[] connections; // used only by the sending thread
    private long measuredFromNanos; // set before the first call is sent

    private LoadGenerator(Plan plan) {
        this.plan = plan;
        templateRandom = new SplittableRandom(plan.seed());
        keyRandom = templateRandom.split();
        concurrencyPermits = new Semaphore(plan.concurrency());
        headerBlockByTemplate = new byte[plan.callTemplates().size()][];
        connections = new LoadConnection[plan.connections()];
    }

    /**
     * Generates the load, waits for outstanding responses and returns the outcomes.
     *
     * @throws IOException if one of the initial connections cannot be established
     */
    public static Outcomes run(Plan plan) throws IOException, InterruptedException {
        return new LoadGenerator(plan).run();
    }

    private Outcomes run() throws IOException, InterruptedException {
        for (int i = 0; i < connections.length; i++) {
            connections[i] = connect();
        }
        for (int templateIndex = 0; templateIndex < headerBlockByTemplate.length; templateIndex++) {
            outcomesByTemplate.add(new CallOutcomes());
            headerBlockByTemplate[templateIndex] = connections[0].encode(requestHead(templateIndex, HttpFields.EMPTY));
        }
        long startNanos = System.nanoTime();
        measuredFromNanos = startNanos + (long) (plan.warmUpSeconds() * NANOS_PER_SECOND);
        long endNanos = startNanos + (long) ((plan.warmUpSeconds() + plan.measuredSeconds()) * NANOS_PER_SECOND);
        if (plan.hasRate()) {
            sendAtRate(startNanos, endNanos);
        } else {
            sendConcurrently(endNanos);
        }
        awaitOpenStreams();
        for (LoadConnection connection : connections) {
            connection.close();
        }
        return outcomesByOperation();
    }

    private LoadConnection connect() throws IOException {
        return new LoadConnection(plan.address(), plan.port(), this::recordCallEnd);
    }

    private MetaData requestHead(int templateIndex, HttpFields fields) {
        CallTemplate template = plan.callTemplates().get(templateIndex);
        return FrameConnection.requestHead(template.method(), template.path(), fields);
    }

    private void awaitOpenStreams() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.responseTimeoutMs());
        while (System.nanoTime() < deadlineNanos
                && Arrays.stream(connections).anyMatch(LoadConnection::hasOpenStreams)) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    private Outcomes outcomesByOperation() {
        Map<String, CallOutcomes> byOperation = new TreeMap<>();
        for (int templateIndex = 0; templateIndex < outcomesByTemplate.size(); templateIndex++) {
            byOperation.put(plan.callTemplates().get(templateIndex).operation(), outcomesByTemplate.get(templateIndex));
        }
        return new Outcomes(byOperation, plan.measuredSeconds());
    }

    /** Chooses the template of the next call at random by weight and returns its index. */
    private int drawTemplateIndex() {
        double remainingWeight = templateRandom.nextDouble()
                * plan.callTemplates().stream()
                        .mapToDouble(CallTemplate::weight)
                        .sum();
        for (int templateIndex = 0; templateIndex < headerBlockByTemplate.length; templateIndex++) {
            remainingWeight -= plan.callTemplates().get(templateIndex).weight();
            if (remainingWeight < 0) {
                return templateIndex;
            }
        }
        return headerBlockByTemplate.length - 1;
    }

    private void sendAtRate(long startNanos, long endNanos) {
        double intervalNanos = NANOS_PER_SECOND / plan.callsPerSecond();
        int firstConnection = 0;
        long dueNanos = startNanos;
        for (long i = 1; dueNanos < endNanos; i++) {
            parkUntil(dueNanos);
            firstConnection = send(drawTemplateIndex(), dueNanos, firstConnection);
            dueNanos = startNanos + (long) (i * intervalNanos);
        }
    }

    private static void parkUntil(long dueNanos) {
        for (long waitNanos = dueNanos - System.nanoTime(); waitNanos > 0; waitNanos = dueNanos - System.nanoTime()) {
            LockSupport.parkNanos(waitNanos);
        }
    }

    private void sendConcurrently(long endNanos) throws InterruptedException {
        int firstConnection = 0;
        while (System.nanoTime() < endNanos) {
            if (concurrencyPermits.tryAcquire(ACQUIRE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                firstConnection = send(drawTemplateIndex(), System.nanoTime(), firstConnection);
            }
        }
    }

    /**
     * Sends a call on the first connection that can open a stream, and replaces unusable connections on the way.
     *
     * @return index of the connection to try first for the next call
     */
    private int send(int templateIndex, long dueNanos, int firstConnection) {
        if (dueNanos >= measuredFromNanos) {
            synchronized (outcomesByTemplate) {
                outcomesByTemplate.get(templateIndex).recordScheduled();
            }
        }
        for (int i = 0; i < connections.length; i++) {
            int index = (firstConnection + i) % connections.length;
            if (replaceIfUnusable(index)
                    && connections[index].send(templateIndex, dueNanos, () -> headerBlock(templateIndex, index))) {
                return index + 1;
            }
        }
        recordCallEnd(templateIndex, dueNanos, CallEnd.UNSENT);
        return firstConnection + 1;
    }

    /** Replaces an unusable connection by a new one; returns false if the new connection cannot be established. */
    private boolean replaceIfUnusable(int index) {
        if (!connections[index].isUsable()) {
            try {
                connections[index] = connect();
            } catch (IOException connectFailure) {
                return false;
            }
        }
        return true;
    }

    private byte[] headerBlock(int templateIndex, int connection) {
        if (!plan.callTemplates().get(templateIndex).hasIdempotencyKey()) {
            return headerBlockByTemplate[templateIndex];
        }
        HttpFields key = HttpFields.build().put("x-mark", Long.toHexString(keyRandom.nextLong()));
        return connections[connection].encode(requestHead(templateIndex, key));
    }

    private void recordCallEnd(int templateIndex, long dueNanos, CallEnd end) {
        if (!plan.hasRate()) {
            concurrencyPermits.release();
        }
        if (dueNanos < measuredFromNanos) {
            return;
        }
        long elapsedMicros = Math.max(0, (System.nanoTime() - dueNanos) / NANOS_PER_MICRO);
        synchronized (outcomesByTemplate) {
            outcomesByTemplate.get(templateIndex).recordEnd(end, elapsedMicros);
        }
    }

    /** Formats the outcomes as a text table with a row for each operation. */
    public static String formatTable(Outcomes outcomes) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-12s %9s %9s %9s %9s %9s  %s%n",
                "operation",
                "a second",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "most ms",
                "ends"));
        outcomes.byOperation().forEach((name, calls) -> text.append(row(name, calls, outcomes.seconds())));
        return text.toString();
    }

    private static String row(String name, CallOutcomes outcomes, double seconds) {
        Histogram latencyMicros = outcomes.latencyMicros();
        return String.format(
                Locale.ROOT,
                "%-12s %9.0f %9.2f %9.2f %9.2f %9.2f  %s%n",
                name,
                outcomes.answeredCalls() / seconds,
                latencyMicros.getValueAtPercentile(MEDIAN_PERCENTILE) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(P99_PERCENTILE) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(P999_PERCENTILE) / MICROS_PER_MILLI,
                latencyMicros.getMaxValue() / MICROS_PER_MILLI,
                outcomes.countsByEnd());
    }
}
