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
 * Measures one workload: waits until all proxies have tables, starts the steady rates, warms up, and reads what the real and
 * the simulated controllers use over a window.
 */
final class PointRunner {
    private static final long SETTLE_TIMEOUT_S = 60;
    /** For starting and ending all processes. */
    private static final double START_AND_STOP_S = 10;

    private static final int MAX_REAL_CONTROLLERS = 4;
    /** One controller of that many is a real one. */
    private static final int CONTROLLERS_PER_REAL = 8;

    private static final double RELEASE_S = 0.5;
    private static final double BETWEEN_COLLECTIONS_S = 0.2;
    private static final double SECOND_NANOS = 1e9;
    private static final double SECOND_MS = 1000;
    private static final double MEGABYTE = 1e6;
    private static final double PERCENT = 100;
    /** The share of a core from which a thread is shown in progress messages. */
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

    /** The counters of one controller at one time. */
    private record Reading(ProcessorTimes times, Traffic.Counts traffic) {}

    /** How many of a workload's controllers are real ones. */
    static int realControllers(Workload workload) {
        return Math.min(MAX_REAL_CONTROLLERS, Math.max(1, workload.stewards() / CONTROLLERS_PER_REAL));
    }

    /** How long a point takes if its proxies have their tables at once. */
    double minSeconds() {
        return START_AND_STOP_S + warmUpSeconds + windowSeconds;
    }

    /** Takes {@code maxSeconds} at most: what is to spare is for settling. */
    Point measure(double size, Workload workload, double maxSeconds) throws Exception { // Jetty's start() may throw any
        long settle = (long) Math.min(SETTLE_TIMEOUT_S, maxSeconds - minSeconds());
        try (Testbed testbed = new Testbed(workload, seed)) {
            return measure(size, testbed, settle);
        }
    }

    private Point measure(double size, Testbed testbed, long settleSeconds) throws Exception {
        int realControllers = realControllers(testbed.workload());
        testbed.open(realControllers, Math.max(1, testbed.workload().stewards() - realControllers));
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(settleSeconds);
        String failure = settle(testbed, deadline);
        String simulatedFailure = testbed.awaitSimulatedSettled(deadline);
        if (failure != null || simulatedFailure != null) {
            progress.report("real: " + failure + "; simulated: " + simulatedFailure);
        }
        if (failure != null && simulatedFailure != null) {
            return new Point(size, testbed.workload(), null, null, failure);
        }
        testbed.startSteadyRates();
        sleep(warmUpSeconds);
        RealWindow real = failure == null ? new RealWindow(testbed.real()) : null;
        InProcessWindow simulated = simulatedFailure == null ? new InProcessWindow(testbed.simulated()) : null;
        sleep(windowSeconds);
        Usage realUsage = null;
        if (real != null) {
            failure = ending(testbed.real());
            realUsage = failure == null ? real.usage() : null;
        }
        Usage simulatedUsage = simulated == null ? null : simulated.usage();
        if (realUsage != null) {
            progress.report(describe(realUsage, simulatedUsage));
        }
        return new Point(size, testbed.workload(), realUsage, simulatedUsage, failure);
    }

    /** Waits until all real controllers are settled; null, or what is missing at the first that is not. */
    private static String settle(Testbed testbed, long deadline) throws InterruptedException {
        for (RealMember member : testbed.real()) {
            String missing = testbed.awaitSettled(member, deadline);
            if (missing != null) {
                return missing;
            }
        }
        return null;
    }

    /** How the first of them that has ended did so, or null. */
    private static String ending(List<RealMember> members) {
        return members.stream()
                .filter(member -> !member.process().isAlive())
                .map(member -> member.process().ending())
                .findFirst()
                .orElse(null);
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (SECOND_MS * seconds));
    }

    /** What the real controllers use from its creation on; the mean over them. */
    private static final class RealWindow {
        private final List<RealMember> members;
        private final List<Reading> before = new ArrayList<>();

        RealWindow(List<RealMember> members) throws IOException {
            this.members = members;
            for (RealMember member : members) {
                before.add(reading(member));
            }
        }

        private static Reading reading(RealMember member) throws IOException {
            return new Reading(member.process().processorTimes(true), member.traffic());
        }

        Usage usage() throws IOException, InterruptedException {
            List<Reading> after = new ArrayList<>();
            for (RealMember member : members) { // all before the first collection, which takes a core
                after.add(reading(member));
            }
            List<Usage> usages = new ArrayList<>();
            for (int i = 0; i < members.size(); i++) {
                usages.add(usage(members.get(i), before.get(i), after.get(i)));
            }
            return mean(usages);
        }

        private static Usage usage(RealMember member, Reading before, Reading after)
                throws IOException, InterruptedException {
            double seconds = (after.times().atNanos() - before.times().atNanos()) / SECOND_NANOS;
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
        Map<String, Double> byThread = new HashMap<>();
        usages.forEach(usage -> usage.shareByThread()
                .forEach((name, share) -> byThread.merge(name, share / usages.size(), Double::sum)));
        return new Usage(
                mean(usages, Usage::processorShare),
                mean(usages, Usage::residentBytes),
                mean(usages, Usage::heapBytes),
                mean(usages, Usage::bytesInPerSecond),
                mean(usages, Usage::bytesOutPerSecond),
                mean(usages, Usage::messagesInPerSecond),
                mean(usages, Usage::messagesOutPerSecond),
                byThread);
    }

    private static double mean(List<Usage> usages, ToDoubleFunction<Usage> value) {
        return usages.stream().mapToDouble(value).average().orElse(Double.NaN);
    }

    /** What the simulated controllers use from its creation on; the mean over them. */
    private static final class InProcessWindow {
        private final List<InProcessMember> members;
        private final long startNanos = System.nanoTime();
        private final long processorNanos;
        private final Traffic.Counts traffic;

        InProcessWindow(List<InProcessMember> members) {
            this.members = members;
            processorNanos = processorNanos();
            traffic = traffic();
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

        /** Ends the controllers: their memory is what this process's heap loses with them. */
        Usage usage() throws InterruptedException {
            double controllerSeconds = (System.nanoTime() - startNanos) / SECOND_NANOS * members.size();
            double processorSeconds = (processorNanos() - processorNanos) / SECOND_NANOS;
            Traffic.Counts used = traffic().since(traffic);
            long bytesBefore = heapAfterCollection();
            members.forEach(InProcessMember::release);
            sleep(RELEASE_S);
            double heap = (double) (bytesBefore - heapAfterCollection()) / members.size();
            return new Usage(
                    processorSeconds / controllerSeconds,
                    Double.NaN,
                    heap,
                    Double.NaN, // messages in memory have no bytes
                    used.bytesOut() / controllerSeconds,
                    used.messagesIn() / controllerSeconds,
                    used.messagesOut() / controllerSeconds,
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

    // ---- progress messages

    private static String describe(Usage real, Usage simulated) {
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
                + "; threads " + byThread(real.shareByThread());
    }

    private static String byThread(Map<String, Double> shares) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(shares).forEach((name, share) -> {
            if (share >= MIN_THREAD_SHARE) {
                text.append(String.format(Locale.ROOT, "%s %.2f%% ", name, PERCENT * share));
            }
        });
        return text.toString().strip();
    }
}
