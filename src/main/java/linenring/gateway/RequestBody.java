package linenring.gateway;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http2.api.Stream;

/**
 * Reads the body of a client's request for its successive attempts. The bytes read are retained while the buffer limits
 * allow it, so that a later attempt can send them again. Only the request's serialized tasks may call its methods.
 */
final class RequestBody {
    private final Stream clientStream;
    private final RetainedBody retained;
    private HttpFields trailers; // Jetty delivers the trailers before the last part of the body has been read
    private boolean fullyRead;

    RequestBody(Stream clientStream, RetainedBody retained, boolean isEmpty) {
        this.clientStream = clientStream;
        this.retained = retained;
        fullyRead = isEmpty;
        retained.add(ByteBuffer.allocate(0), isEmpty);
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

    /** Returns the next data, which the caller releases, or demands more from the client and returns null. */
    Stream.Data read() {
        Stream.Data data = clientStream.readData();
        if (data == null) {
            clientStream.demand();
            return null;
        }
        fullyRead = data.frame().isEndStream();
        retained.add(data.frame().getByteBuffer(), fullyRead);
        return data;
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

    /** Discards the retained bytes when no further attempt can follow. */
    void discardRetained() {
        retained.discard();
    }
}
