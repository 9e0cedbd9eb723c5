package linenring.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
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
 * stall is seen by all that it delays), or so many calls at a time.
 */
public final class LoadGenerator {
    /** One sort of call, and its part of all. */
    public record Call(String operation, String method, String path, double part, boolean marked) {}

    /**
     * What is sent. {@code rate} a second; 0: as many at a time as {@code atATime}. {@code waitMs}: how long the last
     * answers are waited for.
     */
    public record Plan(
            String address,
            int port,
            List<Call> calls,
            double rate,
            int atATime,
            int connections,
            double seconds,
            double warmSeconds,
            long waitMs,
            long seed) {}

    /** What came of one operation's calls; latency in microseconds, of those that were answered. */
    public static final class Outcome {
        public final Histogram latency = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
        public final Map<String, Long> ends = new TreeMap<>(); // by status, "reset N", "refused", "lost"
        public long sent;

        void end(String how) {
            ends.merge(how, 1L, Long::sum);
        }

        /** Sent, and neither answered nor known to be not processed. */
        public long lost() {
            return ends.getOrDefault("lost", 0L);
        }
    }

    /** What came of it all, by operation in their order. */
    public record Outcomes(Map<String, Outcome> by, double seconds) {
        public long answered() {
            return by.values().stream()
                    .mapToLong(o -> o.latency.getTotalCount())
                    .sum();
        }
    }

    private static final int WINDOW = 1 << 24;
    private static final int REFUSED = 7;

    /** One connection; ends are told to the plan's books. */
    private final class Line {
        final FrameConnection link;
        final Thread reader;
        private long[] due = new long[1024]; // by stream / 2: when it was due, or 0
        private int[] call = new int[1024];
        private int next = 1, open, streamsMost = 100, last = Integer.MAX_VALUE;
        private boolean leaving, closed;

        Line() throws IOException {
            link = new FrameConnection(new Socket(InetAddress.getByName(plan.address()), plan.port()));
            link.raw(FrameConnection.PREFACE);
            link.settings(4, WINDOW);
            link.window(0, WINDOW * 8);
            reader = new Thread(this::read, "load");
            reader.setDaemon(true);
            reader.start();
        }

        /** False if it takes no more now. */
        boolean send(int which, long dueAt) {
            int stream;
            synchronized (this) {
                if (leaving || closed || open >= streamsMost) {
                    return false;
                }
                stream = next;
                next += 2;
                if (stream / 2 >= due.length) {
                    due = Arrays.copyOf(due, due.length * 2);
                    call = Arrays.copyOf(call, call.length * 2);
                }
                due[stream / 2] = dueAt;
                call[stream / 2] = which;
                open++;
            }
            try {
                Call c = plan.calls().get(which);
                byte[] block = c.marked()
                        ? link.block(FrameConnection.request(
                                c.method(),
                                c.path(),
                                HttpFields.build().put("x-mark", Long.toHexString(marks.nextLong()))))
                        : blocks[which];
                link.write(
                        FrameConnection.HEADERS,
                        FrameConnection.END_HEADERS | FrameConnection.END_STREAM,
                        stream,
                        block);
            } catch (IOException e) {
                end(stream, "lost");
            }
            return true;
        }

        private void end(int stream, String how) {
            long at;
            int which;
            synchronized (this) {
                if (stream / 2 >= due.length || stream % 2 == 0 || due[stream / 2] == 0) {
                    return;
                }
                at = due[stream / 2];
                which = call[stream / 2];
                due[stream / 2] = 0;
                open--;
            }
            ended(which, at, how);
        }

        private void read() {
            Map<Integer, String> statuses = new java.util.HashMap<>();
            try {
                for (FrameConnection.Frame f = link.read(); f != null; f = link.read()) {
                    took(f, statuses);
                }
            } catch (IOException | RuntimeException e) {
                // its end
            }
            List<Integer> left = new ArrayList<>();
            synchronized (this) {
                closed = true;
                for (int i = 0; i < due.length; i++) {
                    if (due[i] != 0) {
                        left.add(i * 2 + 1);
                    }
                }
            }
            left.forEach(s -> end(s, s > last ? "refused" : "lost"));
        }

        private void took(FrameConnection.Frame f, Map<Integer, String> statuses) throws IOException {
            switch (f.type()) {
                case FrameConnection.SETTINGS -> {
                    if (!f.has(FrameConnection.ACK)) {
                        for (int at = 0; at + 6 <= f.payload().length; at += 6) {
                            streamsMost = f.payload()[at + 1] == 3 ? f.figure(at + 2) : streamsMost;
                        }
                        link.write(FrameConnection.SETTINGS, FrameConnection.ACK, 0);
                    }
                }
                case FrameConnection.PING -> {
                    if (!f.has(FrameConnection.ACK)) {
                        link.write(FrameConnection.PING, FrameConnection.ACK, 0, f.payload());
                    }
                }
                case FrameConnection.HEADERS -> {
                    if (link.decode(f) instanceof MetaData.Response head && head.getStatus() >= 200) {
                        statuses.put(f.stream(), Integer.toString(head.getStatus()));
                    }
                    over(f, statuses);
                }
                case FrameConnection.DATA -> {
                    if (f.payload().length > 0) {
                        link.window(0, f.payload().length);
                    }
                    over(f, statuses);
                }
                case FrameConnection.RST_STREAM -> {
                    statuses.remove(f.stream());
                    end(f.stream(), f.figure(0) == REFUSED ? "refused" : "reset " + f.figure(0));
                }
                case FrameConnection.GOAWAY -> {
                    leaving = true;
                    last = f.figure(0);
                }
                default -> {}
            }
        }

        private void over(FrameConnection.Frame f, Map<Integer, String> statuses) {
            if (f.has(FrameConnection.END_STREAM)) {
                end(f.stream(), statuses.remove(f.stream()));
            }
        }

        synchronized boolean isUsable() {
            return !leaving && !closed;
        }
    }

    private final Plan plan;
    private final byte[][] blocks;
    private final SplittableRandom chance, marks;
    private final List<Outcome> outcomes = new ArrayList<>();
    private final Semaphore free;
    private Line[] lines;
    private long countFrom;

    private LoadGenerator(Plan plan) {
        this.plan = plan;
        chance = new SplittableRandom(plan.seed());
        marks = chance.split();
        free = new Semaphore(plan.atATime()); // used without a rate
        blocks = new byte[plan.calls().size()][];
    }

    /** Runs it to its end. */
    public static Outcomes run(Plan plan) throws IOException, InterruptedException {
        return new LoadGenerator(plan).run();
    }

    private Outcomes run() throws IOException, InterruptedException {
        lines = new Line[plan.connections()];
        for (int i = 0; i < lines.length; i++) {
            lines[i] = new Line();
        }
        for (int k = 0; k < blocks.length; k++) {
            Call c = plan.calls().get(k);
            outcomes.add(new Outcome());
            blocks[k] = lines[0].link.block(FrameConnection.request(c.method(), c.path(), HttpFields.EMPTY));
        }
        long start = System.nanoTime(), end = start + (long) ((plan.warmSeconds() + plan.seconds()) * 1e9);
        countFrom = start + (long) (plan.warmSeconds() * 1e9);
        if (plan.rate() > 0) {
            steady(start, end);
        } else {
            inTurn(end);
        }
        long patience = System.nanoTime() + plan.waitMs() * 1_000_000;
        while (System.nanoTime() < patience && Arrays.stream(lines).anyMatch(l -> l.open > 0)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        for (Line l : lines) {
            l.link.close(); // what is still out counts as lost
            l.reader.join();
        }
        Map<String, Outcome> by = new TreeMap<>();
        for (int k = 0; k < outcomes.size(); k++) {
            by.put(plan.calls().get(k).operation(), outcomes.get(k));
        }
        return new Outcomes(by, plan.seconds());
    }

    private int draw() {
        double at = chance.nextDouble()
                * plan.calls().stream().mapToDouble(Call::part).sum();
        for (int k = 0; k < blocks.length; k++) {
            at -= plan.calls().get(k).part();
            if (at < 0) {
                return k;
            }
        }
        return blocks.length - 1;
    }

    private void steady(long start, long end) throws IOException {
        double every = 1e9 / plan.rate();
        int turn = 0;
        for (long i = 0; ; i++) {
            long due = start + (long) (i * every);
            if (due >= end) {
                return;
            }
            for (long wait = due - System.nanoTime(); wait > 0; wait = due - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            turn = send(draw(), due, turn);
        }
    }

    private void inTurn(long end) throws IOException, InterruptedException {
        int turn = 0;
        while (System.nanoTime() < end) {
            if (free.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                turn = send(draw(), System.nanoTime(), turn);
            }
        }
    }

    /** Sends on the next connection that takes it; one that goes away is replaced. */
    private int send(int which, long due, int turn) throws IOException {
        if (due >= countFrom) {
            synchronized (outcomes) {
                outcomes.get(which).sent++;
            }
        }
        for (int i = 0; i < lines.length; i++) {
            int at = (turn + i) % lines.length;
            if (!lines[at].isUsable()) {
                try {
                    lines[at] = new Line();
                } catch (IOException e) {
                    continue;
                }
            }
            if (lines[at].send(which, due)) {
                return at + 1;
            }
        }
        ended(which, due, "unsent");
        return turn + 1;
    }

    private void ended(int which, long due, String how) {
        if (plan.rate() <= 0) {
            free.release();
        }
        if (due < countFrom) {
            return;
        }
        long micros = Math.max(0, (System.nanoTime() - due) / 1000);
        synchronized (outcomes) {
            Outcome o = outcomes.get(which);
            o.end(how);
            if (!how.isEmpty() && Character.isDigit(how.charAt(0))) {
                o.latency.recordValue(Math.min(micros, o.latency.getHighestTrackableValue()));
            }
        }
    }

    /** One line an operation, for people. */
    public static String table(Outcomes all) {
        StringBuilder text = new StringBuilder(String.format(
                "%-12s %9s %9s %9s %9s %9s  %s%n",
                "operation", "a second", "p50 ms", "p99 ms", "p99.9 ms", "most ms", "ends"));
        all.by()
                .forEach((name, o) -> text.append(String.format(
                        java.util.Locale.ROOT,
                        "%-12s %9.0f %9.2f %9.2f %9.2f %9.2f  %s%n",
                        name,
                        o.latency.getTotalCount() / all.seconds(),
                        o.latency.getValueAtPercentile(50) / 1e3,
                        o.latency.getValueAtPercentile(99) / 1e3,
                        o.latency.getValueAtPercentile(99.9) / 1e3,
                        o.latency.getMaxValue() / 1e3,
                        o.ends)));
        return text.toString();
    }
}
