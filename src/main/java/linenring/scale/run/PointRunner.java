package linenring.scale.run;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
 * Measures one workload: waits until all proxies have tables, lets the steady rates begin, warms up, and reads what the real
 * and the hollow stewards use over a window.
 */
final class PointRunner {
    private static final long SETTLE_S = 60;
    private static final double STARTS_AND_ENDS_S = 10;
    private static final int REAL_STEWARDS_MOST = 4;
    private static final int STEWARDS_PER_REAL = 8; // one of so many is a real one
    private static final double LET_GO_S = 0.5, BETWEEN_COLLECTIONS_S = 0.2;

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

    /** How many of a workload's stewards are real ones. */
    static int realStewards(Workload workload) {
        return Math.min(REAL_STEWARDS_MOST, Math.max(1, workload.stewards() / STEWARDS_PER_REAL));
    }

    /** How long a point takes if its proxies have their tables at once, in s. */
    double secondsAtLeast() {
        return STARTS_AND_ENDS_S + warmUpSeconds + windowSeconds;
    }

    /** Takes so many seconds at most: what is to spare is for settling. */
    Point measure(double size, Workload workload, double secondsAtMost)
            throws Exception { // Jetty's start() may throw any
        long settle = (long) Math.min(SETTLE_S, secondsAtMost - secondsAtLeast());
        try (Testbed testbed = new Testbed(workload, seed)) {
            return measure(size, testbed, settle);
        }
    }

    private Point measure(double size, Testbed testbed, long settleSeconds) throws Exception {
        int realStewards = realStewards(testbed.workload());
        testbed.open(realStewards, Math.max(1, testbed.workload().stewards() - realStewards));
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(settleSeconds);
        String failure = settle(testbed, deadline);
        String hollowFailure = testbed.awaitHollowSettled(deadline);
        if (failure != null || hollowFailure != null) {
            progress.say("real: " + failure + "; hollow: " + hollowFailure);
        }
        if (failure != null && hollowFailure != null) {
            return new Point(size, testbed.workload(), null, null, failure);
        }
        testbed.beginSteadyRates();
        sleep(warmUpSeconds);
        RealWindow real = failure == null ? new RealWindow(testbed.real()) : null;
        InProcessWindow hollow = hollowFailure == null ? new InProcessWindow(testbed.hollow()) : null;
        sleep(windowSeconds);
        Usage realUsage = null;
        if (real != null) {
            failure = ending(testbed.real());
            realUsage = failure == null ? real.usage() : null;
        }
        Usage hollowUsage = hollow == null ? null : hollow.usage();
        if (realUsage != null) {
            progress.say(words(realUsage, hollowUsage));
        }
        return new Point(size, testbed.workload(), realUsage, hollowUsage, failure);
    }

    /** Waits until all real stewards are settled; null, or what is missing at the first that is not. */
    private static String settle(Testbed testbed, long deadline) throws InterruptedException {
        for (RealMember member : testbed.real()) {
            String missing = testbed.awaitSettled(member, deadline);
            if (missing != null) {
                return missing;
            }
        }
        return null;
    }

    /** How the first of them ended that has, or null. */
    private static String ending(List<RealMember> members) {
        return members.stream()
                .filter(m -> !m.process().isAlive())
                .map(m -> m.process().ending())
                .findFirst()
                .orElse(null);
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (1000 * seconds));
    }

    /** What the real stewards use from its making on; its mean over them. */
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
            double seconds = (after.times().atNanos() - before.times().atNanos()) / 1e9;
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
        usages.forEach(u ->
                u.shareByThread().forEach((name, share) -> byThread.merge(name, share / usages.size(), Double::sum)));
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

    private static double mean(List<Usage> usages, ToDoubleFunction<Usage> figure) {
        return usages.stream().mapToDouble(figure).average().orElse(Double.NaN);
    }

    /** What the hollow stewards use from its making on; its mean over them. */
    private static final class InProcessWindow {
        private final List<InProcessMember> members;
        private final long begunAt = System.nanoTime();
        private final long processorNanos;
        private final Traffic.Counts traffic;

        InProcessWindow(List<InProcessMember> members) {
            this.members = members;
            processorNanos = processorNanos();
            traffic = traffic();
        }

        private long processorNanos() {
            return members.stream().mapToLong(m -> m.steward().processorNanos()).sum();
        }

        private Traffic.Counts traffic() {
            return members.stream()
                    .map(m -> m.connection().traffic().counts())
                    .reduce(new Traffic.Counts(0, 0, 0, 0), Traffic.Counts::plus);
        }

        /** Lets the stewards go, as their memory is what goes with them. */
        Usage usage() throws InterruptedException {
            double stewardSeconds = (System.nanoTime() - begunAt) / 1e9 * members.size();
            double processorSeconds = (processorNanos() - processorNanos) / 1e9;
            Traffic.Counts used = traffic().since(traffic);
            long with = heapAfterCollection();
            members.forEach(InProcessMember::letGo);
            sleep(LET_GO_S);
            double heap = (double) (with - heapAfterCollection()) / members.size();
            return new Usage(
                    processorSeconds / stewardSeconds,
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
            sleep(BETWEEN_COLLECTIONS_S);
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            return runtime.totalMemory() - runtime.freeMemory();
        }
    }

    // ---- words

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
