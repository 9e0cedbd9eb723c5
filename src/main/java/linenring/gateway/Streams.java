package linenring.gateway;

import java.io.IOException;
import org.eclipse.jetty.http2.CloseState;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.http2.hpack.HpackException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/** Resets streams of clients and hosts, and finds the cause of their failures. Stateless and therefore thread-safe. */
final class Streams {
    private Streams() {}

    /** Resets a stream (RFC 9113, 6.4). */
    static void reset(Stream stream, ErrorCode code) {
        stream.reset(new ResetFrame(stream.getId(), code.code), Callback.NOOP);
    }

    /**
     * Whether the connection of a stream is known to be lost: its end, or its reset, has been read. Jetty reports this to one
     * stream after the other.
     */
    static boolean isConnectionLost(Stream stream) {
        EndPoint endPoint = endPoint(stream);
        return !endPoint.isOpen() || endPoint.isInputShutdown();
    }

    /**
     * Whether a failure of the stream belongs to its whole connection, which is lost, or which Jetty ends because the peer has
     * violated the protocol.
     */
    static boolean isConnectionEnding(Stream stream) {
        CloseState state = ((HTTP2Session) stream.getSession()).getCloseState();
        return isConnectionLost(stream) || state == CloseState.CLOSING || state == CloseState.CLOSED;
    }

    /** Whether a write has failed because the peer has reset the stream, or the connection is lost. */
    static boolean isPeerGone(Stream stream, Throwable writeFailure) {
        return writeFailure instanceof IOException || stream.isReset() || isConnectionLost(stream);
    }

    /** Ends a client's stream after its last write has failed, unless the client has left. */
    static void endAfterFailedWrite(Stream client, Throwable failure) {
        closeIfNotEncodable(client, failure);
        if (!isPeerGone(client, failure)) {
            reset(client, ErrorCode.INTERNAL_ERROR);
        }
    }

    /**
     * Closes the client's connection if the write of headers has failed because they cannot be encoded, such as headers that
     * exceed the client's limit. Jetty then closes the session, reports no event and waits for the client to close the
     * connection; without this check no request on the connection would get a response.
     */
    static void closeIfNotEncodable(Stream client, Throwable failure) {
        if (failure instanceof HpackException.SessionException) {
            endPoint(client).close();
        }
    }

    private static EndPoint endPoint(Stream stream) {
        return ((HTTP2Session) stream.getSession()).getEndPoint();
    }
}
