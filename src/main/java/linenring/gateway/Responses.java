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
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.util.Callback;

/** The answers that the gateway gives by itself, where no host has answered (RFC 9110, 15; RFC 6585, 4). */
final class Responses {
    private static final double MILLIS_PER_SECOND = 1000;

    private Responses() {}

    static int status(FailureReason reason) {
        return switch (reason) {
            case RATE_LIMITED -> HttpStatus.TOO_MANY_REQUESTS_429;
            case NO_HOST -> HttpStatus.SERVICE_UNAVAILABLE_503;
            case ERRORED -> HttpStatus.BAD_GATEWAY_502;
            case TIMED_OUT -> HttpStatus.GATEWAY_TIMEOUT_504;
        };
    }

    /** With {@code Retry-After} in whole seconds, rounded up, where a time to come back is known. */
    static HttpFields fields(NextStep.Reject step) {
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.CONTENT_LENGTH, 0L);
        if (!Double.isInfinite(step.retryAfterMs())) {
            long retryAfterSeconds = (long) Math.ceil(step.retryAfterMs() / MILLIS_PER_SECOND);
            fields.put(HttpHeader.RETRY_AFTER, Long.toString(retryAfterSeconds));
        }
        return fields;
    }

    /** No body, and nothing else to say. */
    static HttpFields empty() {
        return HttpFields.build().put(HttpHeader.CONTENT_LENGTH, 0L);
    }

    /** Whether a host's answer says that the host failed, rather than its client. */
    static boolean isServerError(int status) {
        return status >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    }

    /**
     * Answers at once and without a body. The answer is complete without the rest of the request; a reset with
     * NO_ERROR says so to the client once the answer is written (RFC 9113, 8.1).
     */
    static void send(Stream client, int status, HttpFields fields, boolean requestRead) {
        MetaData.Response head = new MetaData.Response(status, null, HttpVersion.HTTP_2, fields);
        client.headers(
                new HeadersFrame(client.getId(), head, null, true),
                Callback.from(
                        () -> {
                            if (!requestRead) {
                                reset(client, ErrorCode.NO_ERROR);
                            }
                        },
                        failure -> {})); // the client is gone, and needs no answer
    }

    /** Resets a stream (RFC 9113, 6.4). */
    static void reset(Stream stream, ErrorCode code) {
        stream.reset(new ResetFrame(stream.getId(), code.code), Callback.NOOP);
    }

    /** A name of a constant as logs have it. */
    static String logName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
