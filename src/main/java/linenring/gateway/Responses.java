package linenring.gateway;

import java.io.IOException;
import java.util.Locale;
import linenring.routing.FailureReason;
import linenring.routing.NextStep;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.http2.hpack.HpackException;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/** Creates the responses that the gateway sends when no host has responded (RFC 9110, 15; RFC 6585, 4). */
final class Responses {
    private static final double MILLIS_PER_SECOND = 1000;

    private Responses() {}

    static int rejectionStatus(FailureReason reason) {
        return switch (reason) {
            case RATE_LIMITED -> HttpStatus.TOO_MANY_REQUESTS_429;
            case NO_HOST -> HttpStatus.SERVICE_UNAVAILABLE_503;
            case ERRORED -> HttpStatus.BAD_GATEWAY_502;
            case TIMED_OUT -> HttpStatus.GATEWAY_TIMEOUT_504;
        };
    }

    /** Returns headers with {@code Retry-After} in seconds, rounded up, if the time of a possible retry is known. */
    static HttpFields rejectionFields(NextStep.Reject step) {
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.CONTENT_LENGTH, 0L);
        if (!Double.isInfinite(step.retryAfterMs())) {
            long retryAfterSeconds = (long) Math.ceil(step.retryAfterMs() / MILLIS_PER_SECOND);
            fields.put(HttpHeader.RETRY_AFTER, Long.toString(retryAfterSeconds));
        }
        return fields;
    }

    /** Returns the headers of a response without a body. */
    static HttpFields emptyBodyFields() {
        return HttpFields.build().put(HttpHeader.CONTENT_LENGTH, 0L);
    }

    /** Whether a response status reports an error of the host rather than of the client. */
    static boolean isServerError(int status) {
        return status >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    }

    /**
     * Sends a response without a body. If the request was not read to its end, the stream is then reset with NO_ERROR, which
     * tells the client that the rest of the request is not needed (RFC 9113, 8.1).
     */
    static void send(Stream client, int status, HttpFields fields, boolean isRequestRead) {
        MetaData.Response head = new MetaData.Response(status, null, HttpVersion.HTTP_2, fields);
        client.headers(
                new HeadersFrame(client.getId(), head, null, true),
                Callback.from(
                        () -> {
                            if (!isRequestRead) {
                                reset(client, ErrorCode.NO_ERROR);
                            }
                        },
                        failure -> endAfterFailedWrite(client, failure)));
    }

    /**
     * Whether the connection of a client's stream is known to be lost: its end, or its reset, has been read. Jetty reports this to
     * one stream after the other.
     */
    static boolean isConnectionLost(Stream client) {
        EndPoint endPoint = ((HTTP2Session) client.getSession()).getEndPoint();
        return !endPoint.isOpen() || endPoint.isInputShutdown();
    }

    /** Ends a stream whose last write has failed, unless the client has left. */
    private static void endAfterFailedWrite(Stream client, Throwable failure) {
        closeIfNotEncodable(client, failure);
        if (!isClientGone(client, failure)) {
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
            ((HTTP2Session) client.getSession()).getEndPoint().close();
        }
    }

    /** Whether a write to a client has failed because the client has reset the stream, or the connection has ended. */
    static boolean isClientGone(Stream client, Throwable writeFailure) {
        return writeFailure instanceof IOException || client.isReset() || isConnectionLost(client);
    }

    /** Resets a stream (RFC 9113, 6.4). */
    static void reset(Stream stream, ErrorCode code) {
        stream.reset(new ResetFrame(stream.getId(), code.code), Callback.NOOP);
    }

    /** Returns the lower-case name of a constant for log lines. */
    static String logName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
