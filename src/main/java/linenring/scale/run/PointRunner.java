package linenring.scale.run;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import linenring.scale.fleet.Traffic;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;
import linenring.scale.measurement.Workload;
import linenring.scale.process.ProcessorTimes;

/**
 * Measures one workload: waits until all proxies have tables, starts the steady change rates, warms up, and reads the resource
 * usage of the real and simulated controllers over a measurement window.
 */
final class PointRunner {
    private static final long SETTLE_TIMEOUT_S = 60;
    /** The time reserved for starting and stopping all processes. */
    private static final double START_AND_STOP_S = 10;

    private static final int MAX_REAL_CONTROLLERS = 4;
    /** The number of controllers for each real controller; the others are simulated. */
    private static final int CONTROLLERS_PER_REAL = 8;

    private static final double MEMORY_RELEASE_S = 0.5;
    private static final double BETWEEN_COLLECTIONS_S = 0.2;
    private static final double SECOND_NANOS = 1e9;
    private static final double SECOND_MS = 1000;
    private static final double MEGABYTE = 1e6;
    private static final double PERCENT = 100;
    /** Progress messages omit threads that use a smaller share of a core. */
    private static final double MIN_THREAD_SHARE = 0.0005;

    private final double warmUpSeconds;
    private final double windowSeconds;
    private final long seed;
    private final Progress progress;

    PointRunner(double warmUpSeconds, double windowSeconds, long seed, Progress progress) {
        this.warmUpSeconds = warmUpSeconds;
        this.windowSeconds = windowSeconds;
        this.seed = seed;
        this.progress = progress;
    }

    /** The counters of one controller at one point in time. */
    private record CounterReading(ProcessorTimes times, Traffic.Counts traffic) {}

    /** Returns the number of real controllers of a workload. */
    static int realControllers(Workload workload) {
        return Math.min(MAX_REAL_CONTROLLERS, Math.max(1, workload.stewards() / CONTROLLERS_PER_REAL));
    }

    /** Returns the duration of a point, not counting the wait until its proxies have tables. */
    double minSeconds() {
        return START_AND_STOP_S + warmUpSeconds + windowSeconds;
    }

    /**
     * Measures one point in at most {@code maxSeconds}; the wait for tables may use the time that exceeds
     * {@link #minSeconds}.
     */
    Point measure(double size, Workload workload, double maxSeconds)
            throws Exception { // Jetty's start() declares Exception
        long settleSeconds = (long) Math.min(SETTLE_TIMEOUT_S, maxSeconds - minSeconds());
        try (Testbed testbed = new Testbed(workload, seed)) {
            return measure(size, testbed, settleSeconds);
        }
    }

    private Point measure(double size, Testbed testbed, long settleSeconds) throws Exception {
        int realControllers = realControllers(testbed.workload());
        testbed.open(realControllers, Math.max(1, testbed.workload().stewards() - realControllers));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(settleSeconds);
        String failure = awaitRealSettled(testbed, deadlineNanos);
        String simulatedFailure = testbed.awaitSimulatedSettled(deadlineNanos);
        if (failure != null || simulatedFailure != null) {
            progress.report("why controllers have not settled (null if they have): real: " + failure + "; simulated: "
                    + simulatedFailure);
        }
        if (failure != null && simulatedFailure != null) {
            return new Point(size, testbed.workload(), null, null, failure);
        }
        testbed.startSteadyRates();
        sleep(warmUpSeconds);
        RealControllerWindow real = failure == null ? new RealControllerWindow(testbed.realControllers()) : null;
        SimulatedControllerWindow simulated =
                simulatedFailure == null ? new SimulatedControllerWindow(testbed.simulatedControllers()) : null;
        sleep(windowSeconds);
        Usage realUsage = null;
        if (real != null) {
            failure = firstExitDescription(testbed.realControllers());
            realUsage = failure == null ? real.usage() : null;
        }
        Usage simulatedUsage = simulated == null ? null : simulated.usage();
        if (realUsage != null) {
            progress.report(describeUsage(realUsage, simulatedUsage));
        }
        return new Point(size, testbed.workload(), realUsage, simulatedUsage, failure);
    }

    /**
     * Waits until all real controllers have settled; returns null, or why the first unsettled controller has not settled.
     */
    private static String awaitRealSettled(Testbed testbed, long deadlineNanos) throws InterruptedException {
        for (RealControllerWithFleet member : testbed.realControllers()) {
            String failure = testbed.awaitSettled(member, deadlineNanos);
            if (failure != null) {
                return failure;
            }
        }
        return null;
    }

    /** Returns the exit description of the first controller that has exited, or null if all are running. */
    private static String firstExitDescription(List<RealControllerWithFleet> members) {
        return members.stream()
                .filter(member -> !member.process().isAlive())
                .map(member -> member.process().exitDescription())
                .findFirst()
                .orElse(null);
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (SECOND_MS * seconds));
    }

    /** Measures the mean resource usage of the real controllers since the creation of this window. */
    private static final class RealControllerWindow {
        private final List<RealControllerWithFleet> members;
        private final List<CounterReading> before = new ArrayList<>();

        RealControllerWindow(List<RealControllerWithFleet> members) throws IOException {
            this.members = members;
            for (RealControllerWithFleet member : members) {
                before.add(reading(member));
            }
        }

        private static CounterReading reading(RealControllerWithFleet member) throws IOException {
            return new CounterReading(member.process().processorTimes(true), member.traffic());
        }

        Usage usage() throws IOException, InterruptedException {
            List<CounterReading> after = new ArrayList<>();
            for (RealControllerWithFleet member :
                    members) { // read all counters before the first garbage collection, which uses a core
                after.add(reading(member));
            }
            List<Usage> usages = new ArrayList<>();
            for (int i = 0; i < members.size(); i++) {
                usages.add(usage(members.get(i), before.get(i), after.get(i)));
            }
            return mean(usages);
        }

        private static Usage usage(RealControllerWithFleet member, CounterReading before, CounterReading after)
                throws IOException, InterruptedException {
            double seconds = (after.times().readAtNanos() - before.times().readAtNanos()) / SECOND_NANOS;
            Traffic.Counts traffic = after.traffic().since(before.traffic());
            return new Usage(
                    after.times().shareSince(before.times()),
                    member.process().residentBytes(),
                    member.process().heapBytesAfterCollection(),
                    traffic.bytesIn() / seconds,
                    traffic.bytesOut() / seconds,
                    traffic.messagesIn() / seconds,
                    traffic.messagesOut() / seconds,
                    after.times().sharesByThreadSince(before.times()));
        }
    }

    private static Usage mean(List<Usage> usages) {
        Map<String, Double> shareByThread = new HashMap<>();
        usages.forEach(usage -> usage.shareByThread()
                .forEach((name, share) -> shareByThread.merge(name, share / usages.size(), Double::sum)));
        return new Usage(
                mean(usages, Usage::processorShare),
                mean(usages, Usage::residentBytes),
                mean(usages, Usage::heapBytes),
                mean(usages, Usage::bytesInPerSecond),
                mean(usages, Usage::bytesOutPerSecond),
                mean(usages, Usage::messagesInPerSecond),
                mean(usages, Usage::messagesOutPerSecond),
                shareByThread);
    }

    private static double mean(List<Usage> usages, ToDoubleFunction<Usage> value) {
        return usages.stream().mapToDouble(value).average().orElse(Double.NaN);
    }

    /** Measures the mean resource usage of the simulated controllers since the creation of this window. */
    private static final class SimulatedControllerWindow {
        private final List<SimulatedControllerWithFleet> members;
        private final long startNanos = System.nanoTime();
        private final long startProcessorNanos;
        private final Traffic.Counts startTraffic;

        SimulatedControllerWindow(List<SimulatedControllerWithFleet> members) {
            this.members = members;
            startProcessorNanos = processorNanos();
            startTraffic = traffic();
        }

        private long processorNanos() {
            return members.stream()
                    .mapToLong(member -> member.controller().processorNanos())
                    .sum();
        }

        private Traffic.Counts traffic() {
            return members.stream()
                    .map(member -> member.connection().traffic().counts())
                    .reduce(new Traffic.Counts(0, 0, 0, 0), Traffic.Counts::plus);
        }

        /** Computes the usage and releases the controllers; the decrease of this process's heap gives their heap usage. */
        Usage usage() throws InterruptedException {
            double controllerSeconds = (System.nanoTime() - startNanos) / SECOND_NANOS * members.size();
            double processorSeconds = (processorNanos() - startProcessorNanos) / SECOND_NANOS;
            Traffic.Counts windowTraffic = traffic().since(startTraffic);
            long heapBytesBefore = heapAfterCollection();
            members.forEach(SimulatedControllerWithFleet::release);
            sleep(MEMORY_RELEASE_S);
            double heapBytes = (double) (heapBytesBefore - heapAfterCollection()) / members.size();
            return new Usage(
                    processorSeconds / controllerSeconds,
                    Double.NaN,
                    heapBytes,
                    Double.NaN, // messages to simulated controllers are not encoded
                    windowTraffic.bytesOut() / controllerSeconds,
                    windowTraffic.messagesIn() / controllerSeconds,
                    windowTraffic.messagesOut() / controllerSeconds,
                    Map.of());
        }

        private static long heapAfterCollection() throws InterruptedException {
            System.gc();
            sleep(BETWEEN_COLLECTIONS_S);
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            return runtime.totalMemory() - runtime.freeMemory();
        }
    }

    private static String describeUsage(Usage real, Usage simulated) {
        return String.format(
                        Locale.ROOT,
                        "real: %.2f%% of a core, %.1f MB resident, %.1f MB heap, %.0f B/s in, %.0f B/s out",
                        PERCENT * real.processorShare(),
                        real.residentBytes() / MEGABYTE,
                        real.heapBytes() / MEGABYTE,
                        real.bytesInPerSecond(),
                        real.bytesOutPerSecond())
                + (simulated == null
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                "; simulated: %.2f%%, %.1f MB heap",
                                PERCENT * simulated.processorShare(),
                                simulated.heapBytes() / MEGABYTE))
                + "; by thread: " + formatThreadShares(real.shareByThread());
    }

    private static String formatThreadShares(Map<String, Double> shares) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(shares).forEach((name, share) -> {
            if (share >= MIN_THREAD_SHARE) {
                text.append(String.format(Locale.ROOT, "%s %.2f%% ", name, PERCENT * share));
            }
        });
        return text.toString().strip();
    }
}
