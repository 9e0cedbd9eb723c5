package linenring.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import linenring.testserver.Frame;
import linenring.testserver.FrameConnection;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.MetaData;

/** One client connection of a load generator. A thread of its own reads responses; the generator's thread sends requests. */
final class LoadConnection {
    /** Receives the outcome of each call, exactly once and on any thread. */
    interface EndHandler {
        void callEnded(int templateIndex, long dueNanos, CallEnd end);
    }

    /** Receive window of each stream, large enough that flow control never delays a response. */
    private static final int STREAM_WINDOW_BYTES = 1 << 24;

    private static final int CONNECTION_WINDOW_BYTES = STREAM_WINDOW_BYTES * 8;
    private static final int INITIAL_STREAM_CAPACITY = 1024;

    /** Assumed limit of concurrent streams until the server's SETTINGS frame arrives. */
    private static final int MAX_STREAMS_BEFORE_SETTINGS = 100;

    private static final int FIRST_STREAM_ID = 1;
    private static final int STREAM_ID_STEP = 2;
    private static final long NOT_OPEN = 0;

    private final FrameConnection frames;
    private final Thread reader;
    private final EndHandler endHandler;
    private final Map<Integer, CallEnd> responseEndByStream = new HashMap<>(); // accessed only by the reading thread
    // The fields below are guarded by this object's monitor.
    /** Scheduled time of each call, indexed by stream / 2; NOT_OPEN if there is no open stream. */
    private long[] dueNanosByStreamIndex = new long[INITIAL_STREAM_CAPACITY];

    /** Index of each call's template, indexed by stream / 2. */
    private int[] templateIndexByStreamIndex = new int[INITIAL_STREAM_CAPACITY];

    private int nextStream = FIRST_STREAM_ID;
    private int openStreams;
    private int maxStreams = MAX_STREAMS_BEFORE_SETTINGS;
    private int lastProcessedStream = Integer.MAX_VALUE; // last stream identifier of a GOAWAY frame (RFC 9113, 6.8)
    private boolean isGoingAway;
    private boolean isClosed;

    /** Connects to the address and starts the reading thread. */
    LoadConnection(String address, int port, EndHandler endHandler) throws IOException {
        this.endHandler = endHandler;
        frames = new FrameConnection(new Socket(InetAddress.getByName(address), port));
        frames.sendBytes(FrameConnection.preface());
        frames.sendSettings(Frame.INITIAL_WINDOW_SIZE, STREAM_WINDOW_BYTES);
        frames.sendWindowUpdate(0, CONNECTION_WINDOW_BYTES);
        reader = new Thread(this::readFrames, "load");
        reader.setDaemon(true);
        reader.start();
    }

    /** Encodes a request head to a header block for {@link #send}. */
    byte[] encode(MetaData head) {
        return frames.encode(head);
    }

    /**
     * Sends a request without a body.
     *
     * @return false if the connection cannot open another stream now; the header block is then not encoded
     */
    boolean send(int templateIndex, long dueNanos, Supplier<byte[]> headerBlock) {
        int stream = openStream(templateIndex, dueNanos);
        if (stream < FIRST_STREAM_ID) {
            return false;
        }
        try {
            frames.sendFrame(Frame.HEADERS, Frame.END_HEADERS | Frame.END_STREAM, stream, headerBlock.get());
        } catch (IOException sendFailure) {
            endCall(stream, CallEnd.LOST);
        }
        return true;
    }

    /** Opens a stream for a call and returns its identifier, or 0 if no stream can be opened. */
    private synchronized int openStream(int templateIndex, long dueNanos) {
        if (!isUsable() || openStreams >= maxStreams) {
            return 0;
        }
        int stream = nextStream;
        nextStream += STREAM_ID_STEP;
        int index = stream / STREAM_ID_STEP;
        if (index >= dueNanosByStreamIndex.length) {
            dueNanosByStreamIndex = Arrays.copyOf(dueNanosByStreamIndex, dueNanosByStreamIndex.length * 2);
            templateIndexByStreamIndex =
                    Arrays.copyOf(templateIndexByStreamIndex, templateIndexByStreamIndex.length * 2);
        }
        dueNanosByStreamIndex[index] = dueNanos;
        templateIndexByStreamIndex[index] = templateIndex;
        openStreams++;
        return stream;
    }

    private void endCall(int stream, CallEnd end) {
        int index = stream / STREAM_ID_STEP;
        long dueNanos;
        int templateIndex;
        synchronized (this) {
            boolean isOwn = stream % STREAM_ID_STEP == FIRST_STREAM_ID && index < dueNanosByStreamIndex.length;
            if (!isOwn || dueNanosByStreamIndex[index] == NOT_OPEN) {
                return;
            }
            dueNanos = dueNanosByStreamIndex[index];
            templateIndex = templateIndexByStreamIndex[index];
            dueNanosByStreamIndex[index] = NOT_OPEN;
            openStreams--;
        }
        endHandler.callEnded(templateIndex, dueNanos, end);
    }

    private void readFrames() {
        try {
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                handleFrame(frame);
            }
        } catch (IOException | RuntimeException connectionClosed) {
            // the connection was closed, by either side
        }
        closeStreams();
    }

    private void closeStreams() {
        List<Integer> openStreamIds = new ArrayList<>();
        int lastProcessed;
        synchronized (this) {
            isClosed = true;
            lastProcessed = lastProcessedStream;
            for (int index = 0; index < dueNanosByStreamIndex.length; index++) {
                if (dueNanosByStreamIndex[index] != NOT_OPEN) {
                    openStreamIds.add(index * STREAM_ID_STEP + FIRST_STREAM_ID);
                }
            }
        }
        openStreamIds.forEach(stream -> endCall(stream, stream > lastProcessed ? CallEnd.REFUSED : CallEnd.LOST));
    }

    private void handleFrame(Frame frame) throws IOException {
        switch (frame.type()) {
            case Frame.SETTINGS -> {
                handleSettings(frame);
                frames.acknowledge(frame);
            }
            case Frame.PING -> frames.acknowledge(frame);
            case Frame.HEADERS -> {
                if (frames.decode(frame) instanceof MetaData.Response head && head.getStatus() >= HttpStatus.OK_200) {
                    responseEndByStream.put(frame.stream(), CallEnd.answered(head.getStatus()));
                }
                endCallIfLastFrame(frame);
            }
            case Frame.DATA -> {
                if (frame.payload().length > 0) {
                    frames.sendWindowUpdate(0, frame.payload().length);
                }
                endCallIfLastFrame(frame);
            }
            case Frame.RST_STREAM -> {
                responseEndByStream.remove(frame.stream());
                endCall(frame.stream(), CallEnd.reset(frame.readUint31(0)));
            }
            case Frame.GOAWAY -> handleGoAway(frame.readUint31(0));
            default -> {}
        }
    }

    private void handleSettings(Frame settings) {
        settings.forEachSetting((id, value) -> {
            if (id == Frame.MAX_CONCURRENT_STREAMS) {
                setMaxStreams(value);
            }
        });
    }

    private synchronized void setMaxStreams(int newMaxStreams) {
        maxStreams = newMaxStreams;
    }

    private synchronized void handleGoAway(int lastStream) {
        isGoingAway = true;
        lastProcessedStream = lastStream;
    }

    private void endCallIfLastFrame(Frame frame) {
        if (frame.hasFlag(Frame.END_STREAM)) {
            endCall(frame.stream(), responseEndByStream.remove(frame.stream()));
        }
    }

    /** Whether the connection can open streams, now or after open ones have ended. */
    synchronized boolean isUsable() {
        return !isGoingAway && !isClosed;
    }

    synchronized boolean hasOpenStreams() {
        return openStreams > 0;
    }

    /** Closes the connection. Calls in flight count as lost, or as refused if a GOAWAY frame excluded them. */
    void close() throws IOException, InterruptedException {
        frames.close();
        reader.join();
    }
}
