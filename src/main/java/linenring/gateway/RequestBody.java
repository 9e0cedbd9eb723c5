package linenring.gateway;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Reads the body of a client's request for its successive attempts. The bytes read are retained while the buffer limits
 * allow it, so that a later attempt can send them again. Only the request's serialized tasks may call its methods.
 */
final class RequestBody {
    private final ReceiveBuffer received; // null if the request has no body
    private final RetainedBody retained;
    private HttpFields trailers; // Jetty delivers the trailers before the last part of the body has been read
    private boolean fullyRead;

    /** Creates the body whose data is received in a buffer, or an empty body if {@code received} is null. */
    RequestBody(ReceiveBuffer received, RetainedBody retained) {
        this.received = received;
        this.retained = retained;
        fullyRead = received == null;
        retained.add(ByteBuffer.allocate(0), fullyRead);
    }

    void setTrailers(HttpFields fields) {
        trailers = fields;
    }

    /** The request's trailers, or null if none have arrived. */
    HttpFields trailers() {
        return trailers;
    }

    boolean hasTrailers() {
        return trailers != null;
    }

    boolean isFullyRead() {
        return fullyRead;
    }

    /** Buffers the data that has arrived; called by Jetty's thread. Returns whether a read found none before. */
    boolean receive() {
        return received.receive();
    }

    /** Returns the next chunk, which the caller passes to {@link #forwarded}, or null if nothing has arrived. */
    ReceiveBuffer.Chunk read() {
        ReceiveBuffer.Chunk chunk = received.read();
        if (chunk != null) {
            fullyRead = chunk.isLast();
            retained.add(chunk.bytes(), fullyRead);
        }
        return chunk;
    }

    /** Records that a number of bytes that were read has been written to a host or dropped. Thread-safe. */
    void forwarded(int bytes) {
        received.forwarded(bytes);
    }

    /** Whether all bytes read so far are retained, so that another attempt could send the complete body. */
    boolean isRetained() {
        return retained.isComplete();
    }

    /** Whether the body was read to its end, so that the retained bytes are the complete body. */
    boolean isFullyRetained() {
        return retained.hasEnded();
    }

    /** The retained bytes, which another attempt sends first. */
    byte[] retainedBytes() {
        return retained.bytes();
    }

    /** Discards all bytes, and those that the client sends later, when the request has ended. */
    void close() {
        retained.discard();
        if (received != null) {
            received.close();
        }
    }

    /** Discards the retained bytes when no further attempt can follow. */
    void discardRetained() {
        retained.discard();
    }
}
