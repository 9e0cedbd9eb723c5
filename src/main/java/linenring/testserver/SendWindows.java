package linenring.testserver;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Flow control windows for sending on a connection and on each of its open streams (RFC 9113, 5.2). Thread-safe. */
final class SendWindows {
    private static final long RECHECK_INTERVAL_MS = 1000;

    // The fields below are guarded by this object's monitor.
    private final Map<Integer, Integer> windowBytesByStream = new HashMap<>();
    private int connectionWindowBytes = Frame.DEFAULT_WINDOW_BYTES;
    private int initialWindowBytes = Frame.DEFAULT_WINDOW_BYTES;

    synchronized void openStream(int stream) {
        windowBytesByStream.put(stream, initialWindowBytes);
    }

    synchronized boolean isStreamOpen(int stream) {
        return windowBytesByStream.containsKey(stream);
    }

    /** Closes a stream; a thread that waits for window on this stream stops sending. */
    synchronized void closeStream(int stream) {
        windowBytesByStream.remove(stream);
        notifyAll();
    }

    /** Wakes all threads that wait for window, after the connection was closed. */
    synchronized void connectionEnded() {
        notifyAll();
    }

    /** Applies a WINDOW_UPDATE to a stream, or to the connection if {@code stream} is 0 (RFC 9113, 6.9). */
    synchronized void increaseWindow(int stream, int bytes) {
        if (stream == 0) {
            connectionWindowBytes += bytes;
        } else {
            windowBytesByStream.computeIfPresent(stream, (id, windowBytes) -> windowBytes + bytes);
        }
        notifyAll();
    }

    /** Sets the initial window of streams and adjusts the windows of open streams by the difference (RFC 9113, 6.9.2). */
    synchronized void setInitialWindowBytes(int bytes) {
        int change = bytes - initialWindowBytes;
        initialWindowBytes = bytes;
        windowBytesByStream.replaceAll((stream, windowBytes) -> windowBytes + change);
        notifyAll();
    }

    /** Waits until the bytes fit into both windows and reserves them; returns false if the stream or connection was closed. */
    synchronized boolean reserve(int stream, int bytes, BooleanSupplier connectionEnded) throws InterruptedException {
        while (isStreamOpen(stream) && !connectionEnded.getAsBoolean() && availableBytes(stream) < bytes) {
            wait(RECHECK_INTERVAL_MS);
        }
        if (!isStreamOpen(stream) || connectionEnded.getAsBoolean()) {
            return false;
        }
        connectionWindowBytes -= bytes;
        windowBytesByStream.merge(stream, -bytes, Integer::sum);
        return true;
    }

    private int availableBytes(int stream) {
        return Math.min(connectionWindowBytes, windowBytesByStream.get(stream));
    }
}
