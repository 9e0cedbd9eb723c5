package linenring.gateway;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http2.api.Stream;

/**
 * The body of a client's request as far as it was read, for one attempt after the other: what was read is retained, as
 * long as there is capacity, so that a later attempt can begin with it. Used by the request's serialized tasks alone.
 */
final class RequestBody {
    private final Stream clientStream;
    private final RetainedBody retained;
    private HttpFields trailers; // Jetty hands them over before the rest of the body is read
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

    /** Null where there are none, or none yet. */
    HttpFields trailers() {
        return trailers;
    }

    boolean hasTrailers() {
        return trailers != null;
    }

    boolean isFullyRead() {
        return fullyRead;
    }

    /** The next piece, which the caller releases, or null: then more is demanded of the client. */
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

    /** Whether another attempt could send all of it. */
    boolean isRetained() {
        return retained.isComplete();
    }

    /** Whether the retained bytes are the complete body. */
    boolean isRetainedToItsEnd() {
        return retained.hasEnded();
    }

    /** What a further attempt sends first. */
    byte[] retainedBytes() {
        return retained.bytes();
    }

    /** No attempt follows any more. */
    void discardRetained() {
        retained.discard();
    }
}
