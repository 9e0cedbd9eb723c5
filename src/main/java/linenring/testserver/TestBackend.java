package linenring.testserver;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/**
 * A stand-in for a dispatch node: HTTP/2 with prior knowledge on loopback. It does what it is told, and counts what it
 * ran by path and by mark. What it is told for the next invocations goes first, then what it always does.
 */
public final class TestBackend implements AutoCloseable {
    /** What it does with an invocation. All but the first four run it; those that run it count it. */
    public enum Deed {
        /** Says REFUSED_STREAM. */
        REFUSE,
        /** Says GOAWAY below this stream, and takes nothing more on the connection. */
        GO_AWAY_BELOW,
        /** Closes the connection before it runs anything. */
        CLOSE,
        /** Reads nothing of a body, runs nothing. */
        NO_WINDOW,
        ANSWER,
        /** Answers a status of 500 and more. */
        ERROR,
        /** Answers nothing, ever. */
        HANG,
        RESET,
        RESET_AFTER_HEAD,
        RESET_IN_BODY,
        /** Closes the connection when it has run it. */
        DIE,
        DIE_IN_BODY,
        /** Sends half of the body and no more. */
        HANG_IN_BODY,
        /** A byte of the body at a time. */
        TRICKLE,
        /** 103, then the answer, then trailers. */
        EARLY_HINTS_AND_TRAILERS,
        /** Says a longer content-length than it sends. */
        LIE_ABOUT_LENGTH
    }

    /** A deed with its figures: after how long, with which status, how many bytes. */
    public record Told(Deed deed, long afterMs, int status, int bytes) {
        public static Told of(Deed deed) {
            return new Told(deed, 0, deed == Deed.ERROR ? 500 : 200, 2);
        }

        public Told after(long ms) {
            return new Told(deed, ms, status, bytes);
        }

        public Told bytes(int count) {
            return new Told(deed, afterMs, status, count);
        }

        boolean runs() {
            return deed.compareTo(Deed.ANSWER) >= 0;
        }
    }

    private static final long TRICKLE_MS = 20;
    private static final int FRAME = 16 << 10;

    private final ServerSocket server;
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2, daemon());
    private final java.util.concurrent.ExecutorService threads = Executors.newCachedThreadPool(daemon());
    private final Set<Of> connections = ConcurrentHashMap.newKeySet();
    private final ArrayDeque<Told> next = new ArrayDeque<>();
    private final Map<String, Told> always = new ConcurrentHashMap<>(); // by beginning of the path
    private final Map<String, Integer> ran = new TreeMap<>(); // by path
    private final Map<String, Integer> marks = new TreeMap<>(); // by mark, repeats dropped included
    private final Map<String, Long> bodies = new ConcurrentHashMap<>(); // bytes by path
    private final AtomicLong sent = new AtomicLong();
    private volatile HttpFields trailers = HttpFields.EMPTY;
    private volatile int streams = 100;
    private volatile CountDownLatch greets = new CountDownLatch(0);
    private int arrived, running;

    public TestBackend() throws IOException {
        this(0);
    }

    public TestBackend(int port) throws IOException {
        server = new ServerSocket(port, 512, InetAddress.getByName("127.0.0.1"));
        threads.execute(this::accept);
    }

    private static java.util.concurrent.ThreadFactory daemon() {
        return r -> {
            Thread t = new Thread(r, "node");
            t.setDaemon(true);
            return t;
        };
    }

    /** What it does with the next invocation that comes and was not told of yet. */
    public TestBackend next(Told... told) {
        synchronized (next) {
            next.addAll(java.util.List.of(told));
        }
        return this;
    }

    /** What it does with those whose path begins so. */
    public TestBackend always(String prefix, Told told) {
        always.put(prefix, told);
        return this;
    }

    /** How many streams a connection may have, for connections from now on. */
    public TestBackend streams(int most) {
        streams = most;
        return this;
    }

    /** Says its SETTINGS on connections from now on once it is told to, as a host that is slow to accept. */
    public TestBackend greetsOnce(CountDownLatch told) {
        greets = told;
        return this;
    }

    /** How many of a path it ran. */
    public synchronized int ran(String path) {
        return ran.getOrDefault(path, 0);
    }

    public synchronized Map<String, Integer> ran() {
        return new TreeMap<>(ran);
    }

    /** How often an invocation with this mark came and was run or would have been. */
    public synchronized int marked(String mark) {
        return marks.getOrDefault(mark, 0);
    }

    /** How many came, whatever became of them. */
    public synchronized int arrived() {
        return arrived;
    }

    /** How many it is running. */
    public synchronized int running() {
        return running;
    }

    /** Bytes of bodies that came for a path. */
    public long bodyBytes(String path) {
        return bodies.getOrDefault(path, 0L);
    }

    /** Those of the last request that had any. */
    public HttpFields trailers() {
        return trailers;
    }

    /** Bytes of answers' bodies that it sent. */
    public long sentBytes() {
        return sent.get();
    }

    public int connections() {
        return connections.size();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private Told told(String path) {
        synchronized (next) {
            Told first = next.poll();
            if (first != null) {
                return first;
            }
        }
        return always.entrySet().stream()
                .filter(e -> path.startsWith(e.getKey()))
                .max(java.util.Comparator.comparingInt(e -> e.getKey().length()))
                .map(Map.Entry::getValue)
                .orElse(Told.of(Deed.ANSWER));
    }

    private void accept() {
        try {
            while (true) {
                Of connection = new Of(server.accept());
                connections.add(connection);
                threads.execute(connection::run);
            }
        } catch (IOException e) {
            // closed
        }
    }

    /** Ends all connections and listens no more, as a process that dies. */
    @Override
    public void close() throws IOException {
        server.close();
        connections.forEach(Of::end);
        clock.shutdownNow();
        threads.shutdownNow();
    }

    /** One connection. */
    private final class Of {
        private final Socket socket;
        private final Map<Integer, Told> open = new ConcurrentHashMap<>();
        private final Map<Integer, String> paths = new ConcurrentHashMap<>();
        private final Map<Integer, Integer> windows = new ConcurrentHashMap<>(); // what the peer still takes, by stream
        private FrameConnection link;
        private int window = 65_535, initial = 65_535;
        private boolean goingAway;

        Of(Socket socket) {
            this.socket = socket;
        }

        void end() {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed
            }
            synchronized (this) {
                notifyAll();
            }
        }

        void run() {
            try (socket) {
                link = new FrameConnection(socket);
                link.readFully(FrameConnection.PREFACE.length);
                greets.await();
                link.settings(3, streams);
                for (FrameConnection.Frame f = link.read(); f != null; f = link.read()) {
                    took(f);
                }
            } catch (IOException | RuntimeException | InterruptedException e) {
                // the peer's end, or ours
            } finally {
                connections.remove(this);
                end();
            }
        }

        private void took(FrameConnection.Frame f) throws IOException {
            switch (f.type()) {
                case FrameConnection.SETTINGS -> {
                    if (!f.has(FrameConnection.ACK)) {
                        settings(f);
                        link.write(FrameConnection.SETTINGS, FrameConnection.ACK, 0);
                    }
                }
                case FrameConnection.PING -> {
                    if (!f.has(FrameConnection.ACK)) {
                        link.write(FrameConnection.PING, FrameConnection.ACK, 0, f.payload());
                    }
                }
                case FrameConnection.WINDOW_UPDATE -> {
                    synchronized (this) {
                        if (f.stream() == 0) {
                            window += f.figure(0);
                        } else {
                            windows.merge(f.stream(), f.figure(0), Integer::sum);
                        }
                        notifyAll();
                    }
                }
                case FrameConnection.RST_STREAM -> gone(f.stream());
                case FrameConnection.HEADERS -> head(f);
                case FrameConnection.DATA -> data(f);
                default -> {}
            }
        }

        private synchronized void settings(FrameConnection.Frame f) {
            for (int at = 0; at + 6 <= f.payload().length; at += 6) {
                if (f.payload()[at + 1] == 4) {
                    int value = f.figure(at + 2), by = value - initial;
                    initial = value;
                    windows.replaceAll((s, w) -> w + by);
                }
            }
            notifyAll();
        }

        private synchronized void gone(int stream) {
            if (open.remove(stream) != null) {
                windows.remove(stream);
                notifyAll();
            }
        }

        private void head(FrameConnection.Frame f) throws IOException {
            MetaData decoded = link.decode(f);
            if (!(decoded instanceof MetaData.Request request)) {
                trailers = decoded.getHttpFields();
                whole(f);
                return;
            }
            String path = request.getHttpURI().getPath();
            Told told = told(path);
            synchronized (TestBackend.this) {
                arrived++;
                String mark = request.getHttpFields().get("x-mark");
                if (told.runs() && !goingAway && mark != null) {
                    marks.merge(mark, 1, Integer::sum);
                }
            }
            if (goingAway) {
                return; // its GOAWAY has said so
            }
            switch (told.deed()) {
                case REFUSE -> link.reset(f.stream(), 7);
                case GO_AWAY_BELOW -> {
                    goingAway = true;
                    link.goAway(Math.max(0, f.stream() - 2), 0);
                }
                case CLOSE -> end();
                default -> {
                    synchronized (this) {
                        windows.put(f.stream(), initial);
                        open.put(f.stream(), told);
                        paths.put(f.stream(), path);
                    }
                    if (told.runs()) {
                        synchronized (TestBackend.this) {
                            ran.merge(path, 1, Integer::sum);
                        }
                    }
                    whole(f);
                }
            }
        }

        private void data(FrameConnection.Frame f) throws IOException {
            Told told = open.get(f.stream());
            bodies.merge(paths.getOrDefault(f.stream(), ""), (long) f.payload().length, Long::sum);
            if (f.payload().length > 0 && (told == null || told.deed() != Deed.NO_WINDOW)) {
                link.window(0, f.payload().length);
                if (told != null && !f.has(FrameConnection.END_STREAM)) {
                    link.window(f.stream(), f.payload().length);
                }
            }
            whole(f);
        }

        /** The request is whole where this frame ends it. */
        private void whole(FrameConnection.Frame f) {
            Told told = open.get(f.stream());
            if (!f.has(FrameConnection.END_STREAM) || told == null || !told.runs() || told.deed() == Deed.HANG) {
                return;
            }
            synchronized (TestBackend.this) {
                running++;
            }
            if (told.afterMs() > 0) {
                clock.schedule(
                        () -> threads.execute(() -> answer(f.stream(), told)), told.afterMs(), TimeUnit.MILLISECONDS);
            } else if (told.deed() == Deed.ANSWER && told.bytes() <= 1024 || told.deed() == Deed.ERROR) {
                answer(f.stream(), told); // small enough for any window
            } else {
                threads.execute(() -> answer(f.stream(), told));
            }
        }

        private void answer(int stream, Told told) {
            try {
                deed(stream, told);
            } catch (IOException | RuntimeException e) {
                // the connection is gone
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                gone(stream);
                synchronized (TestBackend.this) {
                    running--;
                }
            }
        }

        private void deed(int stream, Told told) throws IOException, InterruptedException {
            if (!open.containsKey(stream)) {
                return;
            }
            HttpFields fields = HttpFields.build().put("x-node", address());
            boolean empty = told.bytes() == 0;
            switch (told.deed()) {
                case RESET -> link.reset(stream, 2);
                case DIE -> end();
                case RESET_AFTER_HEAD, RESET_IN_BODY, DIE_IN_BODY, HANG_IN_BODY -> {
                    link.headers(stream, FrameConnection.response(200, fields), false);
                    if (told.deed() != Deed.RESET_AFTER_HEAD) {
                        body(stream, told.bytes() / 2, false, FRAME, 0);
                    }
                    if (told.deed() == Deed.DIE_IN_BODY) {
                        end();
                    } else if (told.deed() != Deed.HANG_IN_BODY) {
                        link.reset(stream, 2);
                    }
                }
                case TRICKLE -> {
                    link.headers(stream, FrameConnection.response(200, fields), false);
                    body(stream, told.bytes(), true, 1, TRICKLE_MS);
                }
                case EARLY_HINTS_AND_TRAILERS -> {
                    link.headers(
                            stream,
                            FrameConnection.response(103, HttpFields.build().put("link", "</a>")),
                            false);
                    link.headers(stream, FrameConnection.response(200, fields), false);
                    body(stream, told.bytes(), false, FRAME, 0);
                    link.headers(
                            stream,
                            new MetaData(
                                    org.eclipse.jetty.http.HttpVersion.HTTP_2,
                                    HttpFields.build().put("x-sum", "7")),
                            true);
                }
                case LIE_ABOUT_LENGTH -> {
                    link.headers(
                            stream,
                            FrameConnection.response(
                                    200, HttpFields.build(fields).put("content-length", "" + (told.bytes() + 1))),
                            false);
                    body(stream, told.bytes(), true, FRAME, 0);
                }
                default -> {
                    link.headers(stream, FrameConnection.response(told.status(), fields), empty);
                    if (!empty) {
                        body(stream, told.bytes(), true, FRAME, 0);
                    }
                }
            }
        }

        private void body(int stream, int bytes, boolean end, int piece, long every)
                throws IOException, InterruptedException {
            for (int sent = 0; sent < bytes; ) {
                int size = Math.min(piece, bytes - sent);
                synchronized (this) {
                    while (open.containsKey(stream)
                            && !socket.isClosed()
                            && (window < size || windows.getOrDefault(stream, 0) < size)) {
                        wait(1000);
                    }
                    if (!open.containsKey(stream) || socket.isClosed()) {
                        return;
                    }
                    window -= size;
                    windows.merge(stream, -size, Integer::sum);
                }
                sent += size;
                TestBackend.this.sent.addAndGet(size);
                link.write(
                        FrameConnection.DATA,
                        end && sent == bytes ? FrameConnection.END_STREAM : 0,
                        stream,
                        new byte[size]);
                if (every > 0) {
                    TimeUnit.MILLISECONDS.sleep(every);
                }
            }
        }
    }
}
