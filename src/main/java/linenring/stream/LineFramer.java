package linenring.stream;

import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Splits the byte stream of one connection into lines of JSON, independent of how the network fragments the bytes. Invalid data is
 * rejected at its first byte instead of at the line's end, which might never arrive. Not thread-safe: guarded by its connection.
 */
final class LineFramer {
    /** Initial size of the line buffer. Most lines fit, and the idle connections of a fleet use little memory. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Receives each complete line. */
    interface LineHandler {
        /** Handles a line, whose bytes are valid only during the call; returns false once the connection is closed. */
        boolean onLine(byte[] line, int length) throws ConnectionRejectedException;
    }

    private final LineMemoryLimit memory;
    private final LongSupplier nanoClock;
    private final LineHandler handler;
    private int maxLineBytes;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private long lineStartNanos; // time of the first byte of the unfinished line

    LineFramer(LineMemoryLimit memory, LongSupplier nanoClock, int maxLineBytes, LineHandler handler) {
        this.memory = memory;
        this.nanoClock = nanoClock;
        this.maxLineBytes = maxLineBytes;
        this.handler = handler;
    }

    /** Sets the limit on the length of a line, starting with the next line. */
    void setMaxLineBytes(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Processes received bytes; returns false if the handler closed the connection, which leaves the remaining bytes unread. */
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

    /** Whether there is an unfinished line that started before this time. */
    boolean hasLineStartedBefore(long nanos) {
        return length > 0 && lineStartNanos - nanos < 0;
    }

    /** Releases an enlarged buffer; an unfinished line in the buffer is discarded. */
    void releaseBuffer() {
        if (buffer.length > INITIAL_BUFFER_BYTES) {
            memory.release(buffer.length - INITIAL_BUFFER_BYTES);
            buffer = new byte[INITIAL_BUFFER_BYTES];
        }
    }

    private boolean deliverLine() throws ConnectionRejectedException {
        int lineLength = length;
        length = 0;
        return handler.onLine(buffer, lineLength);
    }

    private static int skipBlanks(byte[] from, int start, int end) {
        int next = start;
        while (next < end && isBlank(from[next])) {
            next++;
        }
        return next;
    }

    /** Returns the index of the first byte that is not text: the end of the line, or an invalid control character. */
    private static int findTextEnd(byte[] from, int start, int end) {
        int next = start;
        while (next < end && isText(from[next])) {
            next++;
        }
        return next;
    }

    private static boolean isText(byte octet) {
        boolean isControl = octet >= 0 && octet < ' '; // bytes of multi-byte characters are negative
        return octet != '\n' && (!isControl || isBlank(octet));
    }

    private static boolean isBlank(byte octet) {
        return octet == ' ' || octet == '\n' || octet == '\r' || octet == '\t';
    }

    private void requireJsonLine(byte[] from, int start, int textEnd, int end) throws ConnectionRejectedException {
        if (start == end) {
            return;
        }
        boolean hasInvalidStart = length == 0 && from[start] != '{';
        boolean hasControlCharacter = textEnd < end && from[textEnd] != '\n';
        if (hasInvalidStart || hasControlCharacter) {
            throw new ConnectionRejectedException("received unreadable data, text: not a line of JSON");
        }
    }

    private void append(byte[] from, int start, int count) throws ConnectionRejectedException {
        int neededBytes = length + count;
        if (neededBytes > maxLineBytes) {
            throw new ConnectionRejectedException(
                    "received a line longer than the limit of " + maxLineBytes + " bytes");
        }
        if (neededBytes > buffer.length) {
            int size = Math.min(maxLineBytes, Math.max(neededBytes, 2 * buffer.length));
            if (!memory.tryReserve(size - buffer.length)) {
                throw new ConnectionRejectedException(
                        "no memory left for a long line, since other connections have unfinished long lines");
            }
            buffer = Arrays.copyOf(buffer, size);
        }
        System.arraycopy(from, start, buffer, length, count);
        length = neededBytes;
    }
}
