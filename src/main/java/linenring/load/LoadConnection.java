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

/** One connection of a load; a thread of its own reads, the generator's thread sends. */
final class LoadConnection {
    /** Takes the end of each call, once, on any thread. */
    interface EndHandler {
        void ended(int call, long dueNanos, CallEnd end);
    }

    /** Wide open, so that flow control never delays an answer. */
    private static final int STREAM_WINDOW_BYTES = 1 << 24;

    private static final int CONNECTION_WINDOW_BYTES = STREAM_WINDOW_BYTES * 8;
    private static final int INITIAL_CALLS = 1024;
    private static final int ASSUMED_MAX_STREAMS = 100; // until the SETTINGS have come
    private static final int FIRST_STREAM = 1;
    private static final int STREAM_STEP = 2;
    private static final long NOT_OPEN = 0;

    private final FrameConnection frames;
    private final Thread reader;
    private final EndHandler endHandler;
    private final Map<Integer, CallEnd> answersByStream = new HashMap<>(); // touched by the reader alone
    // All below are guarded by this.
    private long[] dueNanosByIndex = new long[INITIAL_CALLS]; // index: stream / 2; NOT_OPEN where none is open
    private int[] callByIndex = new int[INITIAL_CALLS];
    private int nextStream = FIRST_STREAM;
    private int openStreams;
    private int maxStreams = ASSUMED_MAX_STREAMS;
    private int lastProcessedStream = Integer.MAX_VALUE; // as a GOAWAY says (RFC 9113, 6.8)
    private boolean goingAway;
    private boolean closed;

    /** Connects. */
    LoadConnection(String address, int port, EndHandler endHandler) throws IOException {
        this.endHandler = endHandler;
        frames = new FrameConnection(new Socket(InetAddress.getByName(address), port));
        frames.sendBytes(FrameConnection.preface());
        frames.sendSettings(Frame.INITIAL_WINDOW_SIZE, STREAM_WINDOW_BYTES);
        frames.sendWindowUpdate(0, CONNECTION_WINDOW_BYTES);
        reader = new Thread(this::read, "load");
        reader.setDaemon(true);
        reader.start();
    }

    /** A header block for {@link #send}. */
    byte[] encode(MetaData head) {
        return frames.encode(head);
    }

    /** Sends a call without a body; false, and no header block is made, if the connection takes no more now. */
    boolean send(int call, long dueNanos, Supplier<byte[]> headerBlock) {
        int stream = open(call, dueNanos);
        if (stream < FIRST_STREAM) {
            return false;
        }
        try {
            frames.sendFrame(Frame.HEADERS, Frame.END_HEADERS | Frame.END_STREAM, stream, headerBlock.get());
        } catch (IOException lost) {
            end(stream, CallEnd.LOST);
        }
        return true;
    }

    /** The call's stream, or 0 if none can be opened. */
    private synchronized int open(int call, long dueNanos) {
        if (!isUsable() || openStreams >= maxStreams) {
            return 0;
        }
        int stream = nextStream;
        nextStream += STREAM_STEP;
        int index = stream / STREAM_STEP;
        if (index >= dueNanosByIndex.length) {
            dueNanosByIndex = Arrays.copyOf(dueNanosByIndex, dueNanosByIndex.length * 2);
            callByIndex = Arrays.copyOf(callByIndex, callByIndex.length * 2);
        }
        dueNanosByIndex[index] = dueNanos;
        callByIndex[index] = call;
        openStreams++;
        return stream;
    }

    private void end(int stream, CallEnd end) {
        int index = stream / STREAM_STEP;
        long dueNanos;
        int call;
        synchronized (this) {
            boolean isOwn = stream % STREAM_STEP == FIRST_STREAM && index < dueNanosByIndex.length;
            if (!isOwn || dueNanosByIndex[index] == NOT_OPEN) {
                return;
            }
            dueNanos = dueNanosByIndex[index];
            call = callByIndex[index];
            dueNanosByIndex[index] = NOT_OPEN;
            openStreams--;
        }
        endHandler.ended(call, dueNanos, end);
    }

    private void read() {
        try {
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                received(frame);
            }
        } catch (IOException | RuntimeException ended) {
            // the connection's end, whichever side made it
        }
        closeStreams();
    }

    private void closeStreams() {
        List<Integer> left = new ArrayList<>();
        int lastProcessed;
        synchronized (this) {
            closed = true;
            lastProcessed = lastProcessedStream;
            for (int index = 0; index < dueNanosByIndex.length; index++) {
                if (dueNanosByIndex[index] != NOT_OPEN) {
                    left.add(index * STREAM_STEP + FIRST_STREAM);
                }
            }
        }
        left.forEach(stream -> end(stream, stream > lastProcessed ? CallEnd.REFUSED : CallEnd.LOST));
    }

    private void received(Frame frame) throws IOException {
        switch (frame.type()) {
            case Frame.SETTINGS -> {
                settingsReceived(frame);
                frames.acknowledge(frame);
            }
            case Frame.PING -> frames.acknowledge(frame);
            case Frame.HEADERS -> {
                if (frames.decode(frame) instanceof MetaData.Response head && head.getStatus() >= HttpStatus.OK_200) {
                    answersByStream.put(frame.stream(), CallEnd.answered(head.getStatus()));
                }
                endIfLast(frame);
            }
            case Frame.DATA -> {
                if (frame.payload().length > 0) {
                    frames.sendWindowUpdate(0, frame.payload().length);
                }
                endIfLast(frame);
            }
            case Frame.RST_STREAM -> {
                answersByStream.remove(frame.stream());
                end(frame.stream(), CallEnd.reset(frame.uint31(0)));
            }
            case Frame.GOAWAY -> goAwayReceived(frame.uint31(0));
            default -> {}
        }
    }

    private void settingsReceived(Frame settings) {
        settings.forEachSetting((id, value) -> {
            if (id == Frame.MAX_CONCURRENT_STREAMS) {
                setMaxStreams(value);
            }
        });
    }

    private synchronized void setMaxStreams(int newMaxStreams) {
        maxStreams = newMaxStreams;
    }

    private synchronized void goAwayReceived(int lastStream) {
        goingAway = true;
        lastProcessedStream = lastStream;
    }

    private void endIfLast(Frame frame) {
        if (frame.has(Frame.END_STREAM)) {
            end(frame.stream(), answersByStream.remove(frame.stream()));
        }
    }

    /** Whether it may take calls, now or later. */
    synchronized boolean isUsable() {
        return !goingAway && !closed;
    }

    synchronized boolean hasOpenStreams() {
        return openStreams > 0;
    }

    /** Ends it; what is still open counts as lost. */
    void close() throws IOException, InterruptedException {
        frames.close();
        reader.join();
    }
}
