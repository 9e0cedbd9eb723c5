package linenring.testserver;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/**
 * A stand-in for a client: one HTTP/2 connection of raw frames, which behaves unless it is told to misbehave through
 * {@link #link}. It keeps what came back for each stream.
 */
public final class LoadClient implements AutoCloseable {
    /** What has come back on one stream. */
    public static final class Answer {
        public volatile int status;
        public volatile HttpFields fields, trailers;
        public final List<Integer> early = new ArrayList<>(); // statuses under 200
        public volatile long bytes;
        public volatile boolean ended;
        public volatile int reset = -1; // the error code, or -1
        public volatile long endedAt; // nanoTime

        public boolean isOver() {
            return ended || reset >= 0;
        }
    }

    private static final long WAIT_MS = 15_000; // past any bound in the stories; a story that waits so long has failed

    private final Socket socket;
    public final FrameConnection link;
    private final Map<Integer, Answer> answers = new ConcurrentHashMap<>();
    private final List<FrameConnection.Frame> goAways = new ArrayList<>();
    private final Thread reader;
    private final List<FrameConnection.Frame> heldPings = new ArrayList<>();
    private volatile boolean opensWindows = true, answersPings = true, closed;
    private int nextStream = 1;

    /** Connects and says its preface; {@code settings} as pairs. */
    public LoadClient(int port, int... settings) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        link = new FrameConnection(socket);
        link.raw(FrameConnection.PREFACE);
        link.settings(settings);
        reader = new Thread(this::read, "caller");
        reader.setDaemon(true);
        reader.start();
    }

    /** From now on it answers no PING, as one whose way or reading is slow, until it is told to. */
    public LoadClient holdingPings() {
        answersPings = false;
        return this;
    }

    /** Answers those that it held, and later ones at once. */
    public synchronized void answerPings() throws IOException {
        answersPings = true;
        for (FrameConnection.Frame f : heldPings) {
            link.write(FrameConnection.PING, FrameConnection.ACK, 0, f.payload());
        }
        heldPings.clear();
    }

    public synchronized int heldPings() {
        return heldPings.size();
    }

    /** From now on it never opens a window. */
    public LoadClient ignoringWindows() {
        opensWindows = false;
        return this;
    }

    /** Sends a whole request without a body; tells its stream. */
    public int send(String method, String path, String... fields) throws IOException {
        return begin(method, path, true, fields);
    }

    /** Sends a request's head; tells its stream. */
    public synchronized int begin(String method, String path, boolean end, String... fields) throws IOException {
        HttpFields.Mutable all = HttpFields.build();
        for (int i = 0; i < fields.length; i += 2) {
            all.put(fields[i], fields[i + 1]);
        }
        int stream = nextStream;
        nextStream += 2;
        answers.put(stream, new Answer());
        link.headers(stream, FrameConnection.request(method, path, all), end);
        return stream;
    }

    public void body(int stream, int bytes, boolean end) throws IOException {
        link.write(FrameConnection.DATA, end ? FrameConnection.END_STREAM : 0, stream, new byte[bytes]);
    }

    public Answer answer(int stream) {
        return answers.get(stream);
    }

    /** Waits until the stream is over. */
    public Answer await(int stream) {
        until(() -> answer(stream).isOver() || closed, "stream " + stream + " is over");
        return answer(stream);
    }

    /** Sends and waits. */
    public Answer call(String method, String path, String... fields) throws IOException {
        return await(send(method, path, fields));
    }

    /** Waits until it is so; fails after 15 s. */
    public void until(BooleanSupplier so, String what) {
        awaiting(this, so, what);
    }

    /** Waits on a lock that is notified, and looks again every 5 ms, until it is so; fails after 15 s. */
    public static void awaiting(Object lock, BooleanSupplier so, String what) {
        long end = System.nanoTime() + WAIT_MS * 1_000_000;
        synchronized (lock) {
            while (!so.getAsBoolean()) {
                if (System.nanoTime() > end) {
                    throw new AssertionError("not in " + WAIT_MS + " ms: " + what);
                }
                try {
                    lock.wait(5);
                } catch (InterruptedException e) {
                    throw new AssertionError(what, e);
                }
            }
        }
    }

    /** Frames of GOAWAY that came, oldest first. */
    public synchronized List<FrameConnection.Frame> goAways() {
        return List.copyOf(goAways);
    }

    public boolean isClosed() {
        return closed;
    }

    private void read() {
        Map<Integer, ByteArrayOutputStream> blocks = new ConcurrentHashMap<>();
        try {
            for (FrameConnection.Frame f = link.read(); f != null; f = link.read()) {
                synchronized (this) {
                    took(f, blocks);
                    notifyAll();
                }
            }
        } catch (IOException | RuntimeException e) {
            // its end
        } finally {
            closed = true;
            synchronized (this) {
                notifyAll();
            }
        }
    }

    private void took(FrameConnection.Frame f, Map<Integer, ByteArrayOutputStream> blocks) throws IOException {
        Answer a = answers.get(f.stream());
        switch (f.type()) {
            case FrameConnection.SETTINGS -> {
                if (!f.has(FrameConnection.ACK)) {
                    link.write(FrameConnection.SETTINGS, FrameConnection.ACK, 0);
                }
            }
            case FrameConnection.PING -> {
                if (!f.has(FrameConnection.ACK) && answersPings) {
                    link.write(FrameConnection.PING, FrameConnection.ACK, 0, f.payload());
                } else if (!f.has(FrameConnection.ACK)) {
                    heldPings.add(f);
                }
            }
            case FrameConnection.GOAWAY -> goAways.add(f);
            case FrameConnection.HEADERS -> head(f, a);
            case FrameConnection.DATA -> {
                if (f.payload().length > 0 && opensWindows) {
                    link.window(0, f.payload().length);
                    if (!f.has(FrameConnection.END_STREAM)) {
                        link.window(f.stream(), f.payload().length);
                    }
                }
                if (a != null) {
                    a.bytes += f.payload().length;
                    end(a, f.has(FrameConnection.END_STREAM));
                }
            }
            case FrameConnection.RST_STREAM -> {
                if (a != null) {
                    a.reset = f.figure(0);
                    a.endedAt = a.endedAt == 0 ? System.nanoTime() : a.endedAt;
                }
            }
            default -> {}
        }
    }

    private void head(FrameConnection.Frame f, Answer a) throws IOException {
        MetaData decoded = link.decode(f);
        if (a == null) {
            return;
        }
        if (!(decoded instanceof MetaData.Response head)) {
            a.trailers = decoded.getHttpFields();
        } else if (head.getStatus() < 200) {
            a.early.add(head.getStatus());
        } else {
            a.status = head.getStatus();
            a.fields = head.getHttpFields();
        }
        end(a, f.has(FrameConnection.END_STREAM));
    }

    private static void end(Answer a, boolean ends) {
        if (ends) {
            a.endedAt = System.nanoTime();
            a.ended = true;
        }
    }

    @Override
    public void close() throws IOException {
        link.close();
    }
}
