package linenring.gateway;

import java.util.Locale;
import linenring.routing.FailureReason;
import linenring.routing.NextStep;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.HeadersFrame;
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
                                Streams.reset(client, ErrorCode.NO_ERROR);
                            }
                        },
                        failure -> Streams.endAfterFailedWrite(client, failure)));
    }

    /** Returns the lower-case name of a constant for log lines. */
    static String logName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
