package linenring.scale.run;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import linenring.scale.fleet.Traffic;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;
import linenring.scale.measurement.Workload;
import linenring.scale.process.ProcessorTimes;

/**
 * Measures one workload: waits until all proxies have tables, lets the steady rates begin, warms up, and reads what a real
 * and the hollow stewards use over a window.
 */
final class PointRunner {
    private static final long SETTLE_S = 60;
    private static final int REAL_STEWARDS = 1;

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

    /** What one steward is read from at one time. */
    private record Reading(ProcessorTimes times, Traffic.Counts traffic) {}

    /** How long a point takes at most, in s. */
    double secondsAtMost() {
        return 2 * SETTLE_S + warmUpSeconds + windowSeconds + SETTLE_S;
    }

    Point measure(double size, Workload workload) throws Exception { // Jetty's start() may throw any
        try (Testbed testbed = new Testbed(workload, seed)) {
            return measure(size, testbed);
        }
    }

    private Point measure(double size, Testbed testbed) throws Exception {
        Workload workload = testbed.workload();
        long begun = System.nanoTime();
        testbed.open(REAL_STEWARDS, Math.max(1, workload.stewards() - REAL_STEWARDS));
        RealMember real = testbed.real().get(0);
        String failure = testbed.awaitSettled(real, System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_S));
        String hollowFailure = testbed.awaitHollowSettled(System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_S));
        progress.say("settled after " + (System.nanoTime() - begun) / 1_000_000 + " ms"
                + (failure == null ? "" : "; real: " + failure)
                + (hollowFailure == null ? "" : "; hollow: " + hollowFailure));
        testbed.beginSteadyRates();
        sleep(warmUpSeconds);
        Reading realBefore = failure == null ? reading(real) : null;
        Window hollowWindow = hollowFailure == null ? new Window(testbed.hollow()) : null;
        sleep(windowSeconds);
        Usage realUsage = null;
        if (failure == null) {
            failure = real.process().isAlive() ? null : real.process().ending();
            realUsage = failure == null ? usage(real, realBefore) : null;
        }
        Usage hollowUsage = hollowWindow == null ? null : hollowWindow.usage(testbed.hollow());
        if (realUsage != null) {
            progress.say(words(realUsage, hollowUsage));
        }
        return new Point(size, workload, realUsage, hollowUsage, failure);
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (1000 * seconds));
    }

    // ---- real

    private static Reading reading(RealMember real) throws IOException {
        return new Reading(real.process().processorTimes(true), real.traffic());
    }

    private static Usage usage(RealMember real, Reading before) throws IOException, InterruptedException {
        Reading after = reading(real);
        double seconds = (after.times().atNanos() - before.times().atNanos()) / 1e9;
        Traffic.Counts traffic = after.traffic().since(before.traffic());
        double resident = real.process().residentBytes();
        double heap = real.process().heapBytesAfterCollection();
        return new Usage(
                after.times().shareSince(before.times()),
                resident,
                heap,
                traffic.bytesIn() / seconds,
                traffic.bytesOut() / seconds,
                traffic.messagesIn() / seconds,
                traffic.messagesOut() / seconds,
                after.times().sharesByThreadSince(before.times()));
    }

    // ---- hollow

    /** What the hollow stewards use from its making on; its mean over them. */
    private static final class Window {
        private final long begunAt = System.nanoTime();
        private final long processorNanos;
        private final Traffic.Counts traffic;

        Window(List<HollowMember> members) {
            processorNanos = processorNanos(members);
            traffic = traffic(members);
        }

        private static long processorNanos(List<HollowMember> members) {
            return members.stream().mapToLong(m -> m.steward().processorNanos()).sum();
        }

        private static Traffic.Counts traffic(List<HollowMember> members) {
            return members.stream()
                    .map(m -> m.connection().traffic().counts())
                    .reduce(new Traffic.Counts(0, 0, 0, 0), Traffic.Counts::plus);
        }

        /** Lets the stewards go, as their memory is what goes with them. */
        Usage usage(List<HollowMember> members) throws InterruptedException {
            double stewardNanos = (double) (System.nanoTime() - begunAt) * members.size();
            double stewardSeconds = stewardNanos / 1e9;
            double share = (processorNanos(members) - processorNanos) / stewardNanos;
            Traffic.Counts used = traffic(members).since(traffic);
            long with = heapAfterCollection();
            members.forEach(HollowMember::letGo);
            sleep(0.5);
            double heap = (double) (with - heapAfterCollection()) / members.size();
            return new Usage(
                    share,
                    Double.NaN,
                    heap,
                    Double.NaN, // what is said in memory has no bytes
                    used.bytesOut() / stewardSeconds,
                    used.messagesIn() / stewardSeconds,
                    used.messagesOut() / stewardSeconds,
                    Map.of());
        }

        private static long heapAfterCollection() throws InterruptedException {
            System.gc();
            sleep(0.2);
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            return runtime.totalMemory() - runtime.freeMemory();
        }
    }

    private static String words(Usage real, Usage hollow) {
        return String.format(
                        "real: %.2f%% of a core, %.1f MB resident, %.1f MB heap, %.0f B/s in, %.0f B/s out",
                        100 * real.processorShare(),
                        real.residentBytes() / 1e6,
                        real.heapBytes() / 1e6,
                        real.bytesInPerSecond(),
                        real.bytesOutPerSecond())
                + (hollow == null
                        ? ""
                        : String.format(
                                "; hollow: %.2f%%, %.1f MB heap",
                                100 * hollow.processorShare(), hollow.heapBytes() / 1e6))
                + "; threads " + byThread(real.shareByThread());
    }

    private static String byThread(Map<String, Double> shares) {
        StringBuilder words = new StringBuilder();
        new TreeMap<>(shares).forEach((name, share) -> {
            if (share >= 0.0005) {
                words.append(String.format("%s %.2f%% ", name, 100 * share));
            }
        });
        return words.toString().strip();
    }
}
