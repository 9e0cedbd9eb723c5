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
 * HTTP/2 test client with one connection. The client records the response of each stream and follows the protocol, unless a
 * test violates it by sending frames through {@link #frames}. Thread-safe.
 */
public final class TestClient implements AutoCloseable {
    /** Response received so far on one stream. Written by the reading thread, read by any thread. */
    public static final class Response {
        private static final int NOT_RESET = -1;

        private final List<Integer> interimStatuses = new CopyOnWriteArrayList<>();
        private volatile int status;
        private volatile HttpFields fields;
        private volatile HttpFields trailers;
        private final AtomicLong bodyBytes = new AtomicLong();
        private volatile boolean isComplete;
        private volatile int resetCode = NOT_RESET;

        /** Returns the final status, or 0 if none has been received. */
        public int status() {
            return status;
        }

        /** Returns the header fields of the final response, or null if none have been received. */
        public HttpFields fields() {
            return fields;
        }

        /** Returns the trailers, or null if none have been received. */
        public HttpFields trailers() {
            return trailers;
        }

        /** Returns the statuses of interim responses (1xx), oldest first. */
        public List<Integer> interimStatuses() {
            return List.copyOf(interimStatuses);
        }

        /** Returns the number of body bytes received. */
        public long bodyBytes() {
            return bodyBytes.get();
        }

        /** Whether the response ended normally, with END_STREAM. */
        public boolean isComplete() {
            return isComplete;
        }

        /** Whether the peer reset the stream. */
        public boolean isReset() {
            return resetCode != NOT_RESET;
        }

        /** Returns the error code of the RST_STREAM frame, or -1 if the stream was not reset. */
        public int resetCode() {
            return resetCode;
        }

        /** Whether the response is complete or the stream was reset. */
        public boolean hasEnded() {
            return isComplete || isReset();
        }

        private void handleHeaders(MetaData received, boolean endsStream) {
            if (!(received instanceof MetaData.Response head)) {
                trailers = received.getHttpFields();
            } else if (head.getStatus() < HttpStatus.OK_200) {
                interimStatuses.add(head.getStatus());
            } else {
                status = head.getStatus();
                fields = head.getHttpFields();
            }
            isComplete = isComplete || endsStream;
        }
    }

    /** Longer than any timeout under test, so that a test that waits this long has failed. */
    private static final long MAX_WAIT_MS = 15_000;

    private static final long RECHECK_INTERVAL_MS = 5;

    private final FrameConnection frames;
    private final Map<Integer, Response> responses = new ConcurrentHashMap<>(); // keyed by stream identifier
    private final List<Frame> goAways = new ArrayList<>(); // guarded by this
    private final List<Frame> delayedPings = new ArrayList<>(); // guarded by this
    private volatile boolean sendsWindowUpdates = true;
    private volatile boolean acknowledgesPings = true;
    private volatile boolean isReadingPaused;
    private volatile boolean isClosed;
    private int nextStream = 1; // guarded by this

    /** Connects to a loopback port and sends the preface. {@code settings} are pairs of identifier and value. */
    public TestClient(int port, int... settings) throws IOException {
        frames = new FrameConnection(new Socket(InetAddress.getLoopbackAddress(), port));
        frames.sendBytes(FrameConnection.preface());
        frames.sendSettings(settings);
        Thread reader = new Thread(this::readFrames, "test-client");
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns the underlying connection, through which a test can send invalid frames. */
    public FrameConnection frames() {
        return frames;
    }

    /** Delays PING acknowledgements until {@link #acknowledgePings}, like a client that reads slowly or has a slow network. */
    public TestClient delayPingAcknowledgements() {
        acknowledgesPings = false;
        return this;
    }

    /** Acknowledges all delayed PING frames, and later ones immediately. */
    public synchronized void acknowledgePings() throws IOException {
        acknowledgesPings = true;
        for (Frame ping : delayedPings) {
            frames.answerPing(ping);
        }
        delayedPings.clear();
    }

    /** Returns the number of PING frames whose acknowledgement is delayed. */
    public synchronized int delayedPingCount() {
        return delayedPings.size();
    }

    /** Stops sending WINDOW_UPDATE frames, so that the server can send only until its current windows are exhausted. */
    public TestClient stopWindowUpdates() {
        sendsWindowUpdates = false;
        return this;
    }

    /** Stops reading frames until {@link #resumeReading}, like a client whose network passes nothing on to it. */
    public TestClient pauseReading() {
        isReadingPaused = true;
        return this;
    }

    /** Reads frames again. */
    public synchronized void resumeReading() {
        isReadingPaused = false;
        notifyAll();
    }

    /** Sends a request without a body and returns its stream identifier. */
    public int send(String method, String path, String... fields) throws IOException {
        return sendHeaders(method, path, true, fields);
    }

    /** Sends request headers and returns the stream identifier. {@code fields} are pairs of name and value. */
    public synchronized int sendHeaders(String method, String path, boolean endsStream, String... fields)
            throws IOException {
        HttpFields.Mutable httpFields = HttpFields.build();
        for (int i = 0; i < fields.length; i += 2) {
            httpFields.put(fields[i], fields[i + 1]);
        }
        int stream = nextStream;
        nextStream += 2;
        responses.put(stream, new Response());
        frames.sendHeaders(stream, FrameConnection.requestHead(method, path, httpFields), endsStream);
        return stream;
    }

    /** Sends a part of the request body with the given number of bytes. */
    public void sendData(int stream, int bytes, boolean endsStream) throws IOException {
        frames.sendFrame(Frame.DATA, endsStream ? Frame.END_STREAM : 0, stream, new byte[bytes]);
    }

    /** Returns the response received so far on a stream. */
    public Response response(int stream) {
        return responses.get(stream);
    }

    /** Waits until the response on a stream has ended or the connection is closed. */
    public Response await(int stream) {
        await(() -> response(stream).hasEnded() || isClosed, "stream " + stream + " has ended");
        return response(stream);
    }

    /** Sends a request without a body and waits for the response. */
    public Response call(String method, String path, String... fields) throws IOException {
        return await(send(method, path, fields));
    }

    /** Waits until a condition holds and fails the test after 15 s. */
    public void await(BooleanSupplier condition, String description) {
        await(this, condition, description);
    }

    /**
     * Waits until a condition holds and fails the test after 15 s. The condition is checked when {@code lock} is notified and
     * every 5 ms.
     */
    public static void await(Object lock, BooleanSupplier condition, String description) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS);
        synchronized (lock) {
            while (!condition.getAsBoolean()) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new AssertionError("condition not met within " + MAX_WAIT_MS + " ms: " + description);
                }
                try {
                    lock.wait(RECHECK_INTERVAL_MS);
                } catch (InterruptedException interrupted) {
                    throw new AssertionError(description, interrupted);
                }
            }
        }
    }

    /** Returns the GOAWAY frames received, oldest first. */
    public synchronized List<Frame> goAways() {
        return List.copyOf(goAways);
    }

    /** Whether the connection is closed. */
    public boolean isClosed() {
        return isClosed;
    }

    private void readFrames() {
        try {
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                synchronized (this) {
                    while (isReadingPaused) {
                        wait();
                    }
                    handleFrame(frame);
                    notifyAll();
                }
            }
        } catch (IOException | RuntimeException connectionClosed) {
            // the connection was closed, by either side
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            isClosed = true;
            synchronized (this) {
                notifyAll();
            }
        }
    }

    private void handleFrame(Frame frame) throws IOException {
        Response response = responses.get(frame.stream());
        switch (frame.type()) {
            case Frame.SETTINGS -> frames.acknowledge(frame);
            case Frame.PING -> handlePing(frame);
            case Frame.GOAWAY -> goAways.add(frame);
            case Frame.HEADERS -> {
                MetaData head = frames.decode(frame);
                if (response != null) {
                    response.handleHeaders(head, frame.hasFlag(Frame.END_STREAM));
                }
            }
            case Frame.DATA -> handleData(frame, response);
            case Frame.RST_STREAM -> {
                if (response != null) {
                    response.resetCode = frame.readUint31(0);
                }
            }
            default -> {}
        }
    }

    private void handlePing(Frame ping) throws IOException {
        if (acknowledgesPings) {
            frames.acknowledge(ping);
        } else if (ping.requiresAcknowledgement()) {
            delayedPings.add(ping);
        }
    }

    private void handleData(Frame data, Response response) throws IOException {
        int length = data.payload().length;
        boolean endsStream = data.hasFlag(Frame.END_STREAM);
        if (length > 0 && sendsWindowUpdates) {
            frames.sendWindowUpdate(0, length);
            if (!endsStream) {
                frames.sendWindowUpdate(data.stream(), length);
            }
        }
        if (response != null) {
            response.bodyBytes.addAndGet(length);
            response.isComplete = response.isComplete || endsStream;
        }
    }

    @Override
    public void close() throws IOException {
        frames.close();
    }
}
