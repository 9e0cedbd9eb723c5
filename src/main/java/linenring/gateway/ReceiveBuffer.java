package linenring.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.http2.api.Stream;

/**
 * Buffers the data that was received on a stream and not forwarded yet. Each DATA frame is copied when it arrives and
 * released, and the stream's window is opened again only when the data was forwarded. So the memory of a body is limited
 * by its window, however small its frames are; frames that Jetty keeps in its queue would each take an object and a part
 * of a network buffer. Thread-safe: Jetty's thread adds data, the request's serialized tasks read it.
 */
final class ReceiveBuffer {
    /**
     * Data that was received, at most one chunk of the buffer.
     *
     * @param bytes  the bytes, possibly none
     * @param isLast whether the stream has ended with these bytes
     */
    record Chunk(ByteBuffer bytes, boolean isLast) {}

    private static final String ATTRIBUTE = ReceiveBuffer.class.getName();

    /** Minimum capacity of a chunk behind others, which small frames fill together. */
    private static final int MIN_QUEUED_CHUNK_BYTES = 4 << 10;

    private static final ByteBuffer EMPTY_CHUNK = ByteBuffer.allocate(0);

    private final Stream stream;
    private final DeferredFlowControl flowControl;

    // The fields below are guarded by this object's monitor.
    private final ArrayDeque<ByteBuffer> chunks = new ArrayDeque<>(); // only the last one has space left
    private int unforwardedBytes; // bytes in chunks, and in the chunks that were read and not forwarded yet
    private int deferredWindowBytes; // bytes and padding that were received and not counted as consumed
    private boolean isEndReceived;
    private boolean isEndRead;
    private boolean isReaderWaiting;
    private boolean isClosed;

    private ReceiveBuffer(Stream stream) {
        this.stream = stream;
        flowControl = DeferredFlowControl.of(stream);
    }

    /** Creates the buffer of a new stream, before any data was received, and begins to receive. */
    static ReceiveBuffer attachTo(Stream stream) {
        ReceiveBuffer buffer = new ReceiveBuffer(stream);
        stream.setAttribute(ATTRIBUTE, buffer);
        stream.demand();
        return buffer;
    }

    /** Returns the buffer that is attached to the stream, or null if there is none. */
    static ReceiveBuffer of(Stream stream) {
        return stream == null ? null : (ReceiveBuffer) stream.getAttribute(ATTRIBUTE);
    }

    /**
     * Copies the data that has arrived; called by Jetty's thread when data is available. Returns whether the reader found
     * no data before and must be notified.
     */
    boolean receive() {
        boolean hasEnded = false;
        Stream.Data data = stream.readData();
        while (data != null) {
            hasEnded = data.frame().isEndStream();
            add(data.frame().getByteBuffer(), hasEnded);
            data.release();
            data = hasEnded ? null : stream.readData();
        }
        openWindows();
        boolean mustNotify = takeWaitingReader();
        if (!hasEnded) {
            stream.demand();
        }
        return mustNotify;
    }

    private synchronized void add(ByteBuffer received, boolean isLast) {
        isEndReceived |= isLast;
        if (isClosed) {
            return;
        }
        unforwardedBytes += received.remaining();
        while (received.hasRemaining()) {
            ByteBuffer chunk = lastChunkWithSpace(received.remaining());
            int length = Math.min(chunk.remaining(), received.remaining());
            chunk.put(received.slice().limit(length));
            received.position(received.position() + length);
        }
    }

    private ByteBuffer lastChunkWithSpace(int neededBytes) {
        ByteBuffer last = chunks.peekLast();
        if (last != null && last.hasRemaining()) {
            return last;
        }
        int capacity = last == null ? neededBytes : Math.max(neededBytes, MIN_QUEUED_CHUNK_BYTES);
        ByteBuffer chunk = ByteBuffer.allocate(capacity);
        chunks.add(chunk);
        return chunk;
    }

    private synchronized boolean takeWaitingReader() {
        boolean mustNotify = isReaderWaiting && hasUnread();
        isReaderWaiting &= !mustNotify;
        return mustNotify;
    }

    private boolean hasUnread() {
        return !chunks.isEmpty() || (isEndReceived && !isEndRead);
    }

    /**
     * Returns the next chunk, which the caller must pass to {@link #forwarded}. Returns null if there is none; the call of
     * {@link #receive} for the next data then returns true.
     */
    synchronized Chunk read() {
        if (!hasUnread()) {
            isReaderWaiting = true;
            return null;
        }
        ByteBuffer chunk = chunks.poll();
        isEndRead = isEndReceived && chunks.isEmpty();
        return new Chunk(chunk == null ? EMPTY_CHUNK.duplicate() : chunk.flip(), isEndRead);
    }

    /** Records that bytes of chunks that were read are not in memory any more, and opens the windows by their number. */
    void forwarded(int bytes) {
        synchronized (this) {
            unforwardedBytes -= isClosed ? 0 : bytes;
        }
        openWindows();
    }

    /** Discards the data; data that arrives later is discarded too. */
    void close() {
        synchronized (this) {
            isClosed = true;
            isEndRead = true;
            chunks.clear();
            unforwardedBytes = 0;
        }
        openWindows();
    }

    /** Defers the opening of the windows for received data and returns true, or returns false if the buffer is closed. */
    synchronized boolean deferWindow(int bytes) {
        deferredWindowBytes += isClosed ? 0 : bytes;
        return !isClosed;
    }

    /** Opens the windows by what was received beyond the data that is still in memory. */
    private void openWindows() {
        int bytes;
        synchronized (this) {
            bytes = Math.max(0, deferredWindowBytes - unforwardedBytes);
            deferredWindowBytes -= bytes;
        }
        flowControl.openWindows(stream, bytes);
    }
}
