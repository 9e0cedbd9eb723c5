package linenring.testserver;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.MetaData;

/**
 * A test client: one HTTP/2 connection of raw frames, which keeps to the protocol unless it is made to break it through
 * {@link #frames}. It keeps what came back for each stream. Any thread may call it.
 */
public final class LoadClient implements AutoCloseable {
    /** What has come back on one stream. Written by the reading thread, read by any. */
    public static final class Answer {
        private static final int NOT_RESET = -1;

        private final List<Integer> interimStatuses = new CopyOnWriteArrayList<>();
        private volatile int status;
        private volatile HttpFields fields;
        private volatile HttpFields trailers;
        private final AtomicLong bytes = new AtomicLong();
        private volatile boolean complete;
        private volatile int resetCode = NOT_RESET;

        /** 0 while there is none. */
        public int status() {
            return status;
        }

        /** Null while there are none. */
        public HttpFields fields() {
            return fields;
        }

        /** Null while there are none. */
        public HttpFields trailers() {
            return trailers;
        }

        /** Those under 200. */
        public List<Integer> interimStatuses() {
            return List.copyOf(interimStatuses);
        }

        /** Of its body. */
        public long bytes() {
            return bytes.get();
        }

        /** Whether it ended as it should. */
        public boolean isComplete() {
            return complete;
        }

        /** Whether the stream was reset. */
        public boolean isReset() {
            return resetCode != NOT_RESET;
        }

        /** The error code, or -1. */
        public int resetCode() {
            return resetCode;
        }

        /** Whether nothing more comes. */
        public boolean isOver() {
            return complete || isReset();
        }

        private void headersReceived(MetaData received, boolean last) {
            if (!(received instanceof MetaData.Response head)) {
                trailers = received.getHttpFields();
            } else if (head.getStatus() < HttpStatus.OK_200) {
                interimStatuses.add(head.getStatus());
            } else {
                status = head.getStatus();
                fields = head.getHttpFields();
            }
            complete = complete || last;
        }
    }

    /** Past any limit in the tests: a test that waits so long has failed. */
    private static final long MAX_WAIT_MS = 15_000;

    private static final long RECHECK_MS = 5;

    private final FrameConnection frames;
    private final Map<Integer, Answer> answers = new ConcurrentHashMap<>(); // by stream
    private final List<Frame> goAways = new ArrayList<>(); // guarded by this
    private final List<Frame> heldPings = new ArrayList<>(); // guarded by this
    private volatile boolean opensWindows = true;
    private volatile boolean answersPings = true;
    private volatile boolean closed;
    private int nextStream = 1; // guarded by this

    /** Connects to a port on loopback and sends its preface; {@code settings} as pairs of identifier and value. */
    public LoadClient(int port, int... settings) throws IOException {
        frames = new FrameConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        frames.sendBytes(FrameConnection.preface());
        frames.sendSettings(settings);
        Thread reader = new Thread(this::read, "test-client");
        reader.setDaemon(true);
        reader.start();
    }

    /** To send what a client should not. */
    public FrameConnection frames() {
        return frames;
    }

    /** Answers no PING, as a client whose network or reading is slow, until {@link #answerPings}. */
    public LoadClient holdPings() {
        answersPings = false;
        return this;
    }

    /** Answers those that it held, and later ones at once. */
    public synchronized void answerPings() throws IOException {
        answersPings = true;
        for (Frame ping : heldPings) {
            frames.answerPing(ping);
        }
        heldPings.clear();
    }

    /** How many PINGs wait for an answer. */
    public synchronized int heldPings() {
        return heldPings.size();
    }

    /** From now on it allows no more data than it has. */
    public LoadClient ignoreWindows() {
        opensWindows = false;
        return this;
    }

    /** Sends a request without a body; returns its stream. */
    public int send(String method, String path, String... fields) throws IOException {
        return sendHeaders(method, path, true, fields);
    }

    /** Sends a request's headers, with fields as pairs; returns its stream. */
    public synchronized int sendHeaders(String method, String path, boolean last, String... fields) throws IOException {
        HttpFields.Mutable all = HttpFields.build();
        for (int i = 0; i < fields.length; i += 2) {
            all.put(fields[i], fields[i + 1]);
        }
        int stream = nextStream;
        nextStream += 2;
        answers.put(stream, new Answer());
        frames.sendHeaders(stream, FrameConnection.request(method, path, all), last);
        return stream;
    }

    /** Sends so much of a request's body. */
    public void sendData(int stream, int bytes, boolean last) throws IOException {
        frames.sendFrame(Frame.DATA, last ? Frame.END_STREAM : 0, stream, new byte[bytes]);
    }

    /** What has come back so far. */
    public Answer answer(int stream) {
        return answers.get(stream);
    }

    /** Waits until the stream is over, or the connection. */
    public Answer await(int stream) {
        await(() -> answer(stream).isOver() || closed, "stream " + stream + " is over");
        return answer(stream);
    }

    /** Sends a request without a body and waits for its answer. */
    public Answer call(String method, String path, String... fields) throws IOException {
        return await(send(method, path, fields));
    }

    /** Waits until a condition holds; fails after 15 s. */
    public void await(BooleanSupplier condition, String description) {
        await(this, condition, description);
    }

    /** Waits on a lock that is notified, and looks again every 5 ms, until a condition holds; fails after 15 s. */
    public static void await(Object lock, BooleanSupplier condition, String description) {
        long giveUpNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS);
        synchronized (lock) {
            while (!condition.getAsBoolean()) {
                if (System.nanoTime() > giveUpNanos) {
                    throw new AssertionError("not in " + MAX_WAIT_MS + " ms: " + description);
                }
                try {
                    lock.wait(RECHECK_MS);
                } catch (InterruptedException interrupted) {
                    throw new AssertionError(description, interrupted);
                }
            }
        }
    }

    /** GOAWAY frames that came, oldest first. */
    public synchronized List<Frame> goAways() {
        return List.copyOf(goAways);
    }

    /** Whether the connection has ended. */
    public boolean isClosed() {
        return closed;
    }

    private void read() {
        try {
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                synchronized (this) {
                    received(frame);
                    notifyAll();
                }
            }
        } catch (IOException | RuntimeException ended) {
            // the connection's end, whichever side made it
        } finally {
            closed = true;
            synchronized (this) {
                notifyAll();
            }
        }
    }

    private void received(Frame frame) throws IOException {
        Answer answer = answers.get(frame.stream());
        switch (frame.type()) {
            case Frame.SETTINGS -> frames.acknowledge(frame);
            case Frame.PING -> pingReceived(frame);
            case Frame.GOAWAY -> goAways.add(frame);
            case Frame.HEADERS -> {
                MetaData head = frames.decode(frame);
                if (answer != null) {
                    answer.headersReceived(head, frame.has(Frame.END_STREAM));
                }
            }
            case Frame.DATA -> dataReceived(frame, answer);
            case Frame.RST_STREAM -> {
                if (answer != null) {
                    answer.resetCode = frame.uint31(0);
                }
            }
            default -> {}
        }
    }

    private void pingReceived(Frame ping) throws IOException {
        if (answersPings) {
            frames.acknowledge(ping);
        } else if (ping.wantsAck()) {
            heldPings.add(ping);
        }
    }

    private void dataReceived(Frame data, Answer answer) throws IOException {
        int length = data.payload().length;
        boolean last = data.has(Frame.END_STREAM);
        if (length > 0 && opensWindows) {
            frames.sendWindowUpdate(0, length);
            if (!last) {
                frames.sendWindowUpdate(data.stream(), length);
            }
        }
        if (answer != null) {
            answer.bytes.addAndGet(length);
            answer.complete = answer.complete || last;
        }
    }

    @Override
    public void close() throws IOException {
        frames.close();
    }
}
