package linenring.gateway;

import linenring.routing.FailureReason;
import linenring.routing.NextStep;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** What a client hears where no host has answered (RFC 9110, 15; RFC 6585, 4). */
final class Responses {
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
            fields.put(HttpHeader.RETRY_AFTER, Long.toString((long) Math.ceil(step.retryAfterMs() / 1000)));
        }
        return fields;
    }

    static HttpFields empty() {
        return HttpFields.build().put(HttpHeader.CONTENT_LENGTH, 0L);
    }
}
