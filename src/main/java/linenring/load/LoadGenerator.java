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
 * A load on an HTTP/2 port: at a steady rate whatever comes back (latency counts from when a call was due, so that a
 * stall is seen by all calls that it delays), or with a number of calls at a time.
 */
public final class LoadGenerator {
    /**
     * One sort of call.
     *
     * @param operation         its name in the results
     * @param method            of the request
     * @param path              of the request
     * @param weight            of all calls
     * @param hasIdempotencyKey whether each carries a key of its own in x-mark
     */
    public record Call(String operation, String method, String path, double weight, boolean hasIdempotencyKey) {}

    /**
     * What is sent.
     *
     * @param address         of the port
     * @param port            of the port
     * @param calls           by weight
     * @param callsPerSecond  0: as many at a time as {@code concurrency}
     * @param concurrency     calls at a time, without a rate
     * @param connections     over which calls are spread
     * @param measuredSeconds how long calls count
     * @param warmUpSeconds   how long calls are sent before that
     * @param answerWaitMs    how long the last answers are waited for
     * @param seed            of the mix of calls
     */
    public record Plan(
            String address,
            int port,
            List<Call> calls,
            double callsPerSecond,
            int concurrency,
            int connections,
            double measuredSeconds,
            double warmUpSeconds,
            long answerWaitMs,
            long seed) {
        private boolean hasRate() {
            return callsPerSecond > 0;
        }
    }

    /** What came of all calls, by operation. */
    public record Outcomes(Map<String, CallOutcomes> byOperation, double seconds) {
        /** Calls that were answered, with any status. */
        public long answered() {
            return byOperation.values().stream()
                    .mapToLong(CallOutcomes::answered)
                    .sum();
        }
    }

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long POLL_MS = 5;
    private static final long ACQUIRE_WAIT_MS = 100;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final double P999 = 99.9;

    private final Plan plan;
    private final byte[][] headerBlocks; // by call, of those without a key
    private final SplittableRandom mix; // used by the sending thread
    private final SplittableRandom keys; // used by the sending thread
    private final List<CallOutcomes> outcomes = new ArrayList<>(); // by call; guarded by itself
    private final Semaphore free; // used without a rate
    private final LoadConnection[] connections; // used by the sending thread
    private long measuredFromNanos; // set before the first call

    private LoadGenerator(Plan plan) {
        this.plan = plan;
        mix = new SplittableRandom(plan.seed());
        keys = mix.split();
        free = new Semaphore(plan.concurrency());
        headerBlocks = new byte[plan.calls().size()][];
        connections = new LoadConnection[plan.connections()];
    }

    /**
     * Runs a load to its end.
     *
     * @throws IOException where the port cannot be connected to at the start
     */
    public static Outcomes run(Plan plan) throws IOException, InterruptedException {
        return new LoadGenerator(plan).run();
    }

    private Outcomes run() throws IOException, InterruptedException {
        for (int i = 0; i < connections.length; i++) {
            connections[i] = connect();
        }
        for (int call = 0; call < headerBlocks.length; call++) {
            outcomes.add(new CallOutcomes());
            headerBlocks[call] = connections[0].encode(head(call, HttpFields.EMPTY));
        }
        long startNanos = System.nanoTime();
        measuredFromNanos = startNanos + (long) (plan.warmUpSeconds() * NANOS_PER_SECOND);
        long endNanos = startNanos + (long) ((plan.warmUpSeconds() + plan.measuredSeconds()) * NANOS_PER_SECOND);
        if (plan.hasRate()) {
            sendAtRate(startNanos, endNanos);
        } else {
            sendConcurrently(endNanos);
        }
        awaitAnswers();
        for (LoadConnection connection : connections) {
            connection.close();
        }
        return outcomesByOperation();
    }

    private LoadConnection connect() throws IOException {
        return new LoadConnection(plan.address(), plan.port(), this::ended);
    }

    private MetaData head(int call, HttpFields fields) {
        Call sort = plan.calls().get(call);
        return FrameConnection.request(sort.method(), sort.path(), fields);
    }

    private void awaitAnswers() throws InterruptedException {
        long giveUpNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.answerWaitMs());
        while (System.nanoTime() < giveUpNanos && Arrays.stream(connections).anyMatch(LoadConnection::hasOpenStreams)) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private Outcomes outcomesByOperation() {
        Map<String, CallOutcomes> byOperation = new TreeMap<>();
        for (int call = 0; call < outcomes.size(); call++) {
            byOperation.put(plan.calls().get(call).operation(), outcomes.get(call));
        }
        return new Outcomes(byOperation, plan.measuredSeconds());
    }

    /** The next call, by weight. */
    private int drawCall() {
        double target = mix.nextDouble()
                * plan.calls().stream().mapToDouble(Call::weight).sum();
        for (int call = 0; call < headerBlocks.length; call++) {
            target -= plan.calls().get(call).weight();
            if (target < 0) {
                return call;
            }
        }
        return headerBlocks.length - 1;
    }

    private void sendAtRate(long startNanos, long endNanos) {
        double intervalNanos = NANOS_PER_SECOND / plan.callsPerSecond();
        int firstConnection = 0;
        long dueNanos = startNanos;
        for (long i = 1; dueNanos < endNanos; i++) {
            parkUntil(dueNanos);
            firstConnection = send(drawCall(), dueNanos, firstConnection);
            dueNanos = startNanos + (long) (i * intervalNanos);
        }
    }

    private static void parkUntil(long dueNanos) {
        for (long wait = dueNanos - System.nanoTime(); wait > 0; wait = dueNanos - System.nanoTime()) {
            LockSupport.parkNanos(wait);
        }
    }

    private void sendConcurrently(long endNanos) throws InterruptedException {
        int firstConnection = 0;
        while (System.nanoTime() < endNanos) {
            if (free.tryAcquire(ACQUIRE_WAIT_MS, TimeUnit.MILLISECONDS)) {
                firstConnection = send(drawCall(), System.nanoTime(), firstConnection);
            }
        }
    }

    /**
     * Sends on the next connection that takes the call; one that goes away is replaced.
     *
     * @return with which connection to begin the next time
     */
    private int send(int call, long dueNanos, int firstConnection) {
        if (dueNanos >= measuredFromNanos) {
            synchronized (outcomes) {
                outcomes.get(call).recordSent();
            }
        }
        for (int i = 0; i < connections.length; i++) {
            int index = (firstConnection + i) % connections.length;
            if (replaceIfUnusable(index) && connections[index].send(call, dueNanos, () -> headerBlock(call, index))) {
                return index + 1;
            }
        }
        ended(call, dueNanos, CallEnd.UNSENT);
        return firstConnection + 1;
    }

    /** False where a connection went away and no other can be opened. */
    private boolean replaceIfUnusable(int index) {
        if (!connections[index].isUsable()) {
            try {
                connections[index] = connect();
            } catch (IOException unreachable) {
                return false;
            }
        }
        return true;
    }

    private byte[] headerBlock(int call, int connection) {
        if (!plan.calls().get(call).hasIdempotencyKey()) {
            return headerBlocks[call];
        }
        HttpFields key = HttpFields.build().put("x-mark", Long.toHexString(keys.nextLong()));
        return connections[connection].encode(head(call, key));
    }

    private void ended(int call, long dueNanos, CallEnd end) {
        if (!plan.hasRate()) {
            free.release();
        }
        if (dueNanos < measuredFromNanos) {
            return;
        }
        long micros = Math.max(0, (System.nanoTime() - dueNanos) / NANOS_PER_MICRO);
        synchronized (outcomes) {
            outcomes.get(call).recordEnd(end, micros);
        }
    }

    /** A row for each operation, for people. */
    public static String table(Outcomes outcomes) {
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
                outcomes.answered() / seconds,
                latencyMicros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(P99) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(P999) / MICROS_PER_MILLI,
                latencyMicros.getMaxValue() / MICROS_PER_MILLI,
                outcomes.countsByEnd());
    }
}
