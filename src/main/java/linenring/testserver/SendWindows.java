package linenring.testserver;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** How much the peer still takes, on a connection and on each of its open streams (RFC 9113, 5.2). Thread-safe. */
final class SendWindows {
    private static final long RECHECK_MS = 1000;

    // All below are guarded by this.
    private final Map<Integer, Integer> windowByStream = new HashMap<>();
    private int connectionWindow = Frame.DEFAULT_WINDOW_BYTES;
    private int initialWindow = Frame.DEFAULT_WINDOW_BYTES;

    synchronized void open(int stream) {
        windowByStream.put(stream, initialWindow);
    }

    synchronized boolean isOpen(int stream) {
        return windowByStream.containsKey(stream);
    }

    /** Whoever waits to send on it sends nothing more. */
    synchronized void close(int stream) {
        windowByStream.remove(stream);
        notifyAll();
    }

    /** Wakes whoever waits. */
    synchronized void connectionEnded() {
        notifyAll();
    }

    /** A WINDOW_UPDATE of a stream, or with 0 of the connection (RFC 9113, 6.9). */
    synchronized void update(int stream, int bytes) {
        if (stream == 0) {
            connectionWindow += bytes;
        } else {
            windowByStream.computeIfPresent(stream, (id, window) -> window + bytes);
        }
        notifyAll();
    }

    /** A new initial window changes those of open streams too (RFC 9113, 6.9.2). */
    synchronized void setInitialWindow(int bytes) {
        int change = bytes - initialWindow;
        initialWindow = bytes;
        windowByStream.replaceAll((stream, window) -> window + change);
        notifyAll();
    }

    /** Waits until so much may be sent, and takes it; false if the stream or the connection ended instead. */
    synchronized boolean take(int stream, int bytes, BooleanSupplier connectionEnded) throws InterruptedException {
        while (isOpen(stream) && !connectionEnded.getAsBoolean() && available(stream) < bytes) {
            wait(RECHECK_MS);
        }
        if (!isOpen(stream) || connectionEnded.getAsBoolean()) {
            return false;
        }
        connectionWindow -= bytes;
        windowByStream.merge(stream, -bytes, Integer::sum);
        return true;
    }

    private int available(int stream) {
        return Math.min(connectionWindow, windowByStream.get(stream));
    }
}
