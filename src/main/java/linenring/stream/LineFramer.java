package linenring.stream;

import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Cuts the bytes of one connection into lines of JSON, wherever the network has split them. What cannot become a line of
 * JSON is rejected at its first byte and not only at the line's end, which might never come. Not thread-safe: guarded by
 * its connection.
 */
final class LineFramer {
    /** Most lines are shorter, so that a fleet's idle connections cost little. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Takes each line that is complete. */
    interface LineHandler {
        /** The line is valid during the call alone; false where the connection is done with. */
        boolean onLine(byte[] line, int length) throws ConnectionRejectedException;
    }

    private final LineMemoryLimit memory;
    private final LongSupplier nanoClock;
    private final LineHandler handler;
    private int maxLineBytes;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private long lineStartNanos; // when the unfinished line began

    LineFramer(LineMemoryLimit memory, LongSupplier nanoClock, int maxLineBytes, LineHandler handler) {
        this.memory = memory;
        this.nanoClock = nanoClock;
        this.maxLineBytes = maxLineBytes;
        this.handler = handler;
    }

    /** Counts from the next line on. */
    void setMaxLineBytes(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Takes bytes in; false where the handler is done with the connection, and the rest was not looked at. */
    boolean feed(byte[] from, int start, int count) throws ConnectionRejectedException {
        int end = start + count;
        int next = start;
        while (next < end) {
            if (length == 0) {
                next = skipBlanks(from, next, end);
                lineStartNanos = nanoClock.getAsLong();
            }
            int textEnd = findTextEnd(from, next, end);
            requireJsonLine(from, next, textEnd, end);
            append(from, next, textEnd - next);
            next = textEnd + 1;
            if (textEnd < end && !deliverLine()) {
                return false;
            }
        }
        if (length == 0) {
            releaseBuffer();
        }
        return true;
    }

    /** Whether a line has begun, and began before this time. */
    boolean hasLineStartedBefore(long nanos) {
        return length > 0 && lineStartNanos - nanos < 0;
    }

    /** Gives a grown buffer back; the unfinished line in it is lost. */
    void releaseBuffer() {
        if (buffer.length > INITIAL_BUFFER_BYTES) {
            memory.release(buffer.length - INITIAL_BUFFER_BYTES);
            buffer = new byte[INITIAL_BUFFER_BYTES];
        }
    }

    private boolean deliverLine() throws ConnectionRejectedException {
        int complete = length;
        length = 0;
        return handler.onLine(buffer, complete);
    }

    private static int skipBlanks(byte[] from, int start, int end) {
        int next = start;
        while (next < end && isBlank(from[next])) {
            next++;
        }
        return next;
    }

    /** The first byte that is no text within a line: the line's end, or what may not stand there. */
    private static int findTextEnd(byte[] from, int start, int end) {
        int next = start;
        while (next < end && isText(from[next])) {
            next++;
        }
        return next;
    }

    private static boolean isText(byte octet) {
        boolean isControl = octet >= 0 && octet < ' '; // bytes of longer characters are negative
        return octet != '\n' && (!isControl || isBlank(octet));
    }

    private static boolean isBlank(byte octet) {
        return octet == ' ' || octet == '\n' || octet == '\r' || octet == '\t';
    }

    private void requireJsonLine(byte[] from, int start, int textEnd, int end) throws ConnectionRejectedException {
        if (start == end) {
            return;
        }
        boolean beginsWrong = length == 0 && from[start] != '{';
        boolean continuesWrong = textEnd < end && from[textEnd] != '\n';
        if (beginsWrong || continuesWrong) {
            throw new ConnectionRejectedException("sends unreadable data, text: not a line of JSON");
        }
    }

    private void append(byte[] from, int start, int count) throws ConnectionRejectedException {
        int needed = length + count;
        if (needed > maxLineBytes) {
            throw new ConnectionRejectedException("sends a line of over " + maxLineBytes + " bytes");
        }
        if (needed > buffer.length) {
            int size = Math.min(maxLineBytes, Math.max(needed, 2 * buffer.length));
            if (!memory.tryReserve(size - buffer.length)) {
                throw new ConnectionRejectedException("has begun a long line while too many others have");
            }
            buffer = Arrays.copyOf(buffer, size);
        }
        System.arraycopy(from, start, buffer, length, count);
        length = needed;
    }
}
