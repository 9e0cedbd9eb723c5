package linenring.gateway;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import linenring.log.Log;
import linenring.routing.AttemptFailure;
import linenring.routing.FailureReason;
import linenring.routing.HostRegistry;
import org.eclipse.jetty.http2.api.Stream;

/** Counts the outcomes of requests by operation and logs outcomes that need an operator's attention. Thread-safe. */
final class RequestOutcomes {
    /** The outcomes of a request, in the order in which totals are logged. */
    private enum Outcome {
        SUCCEEDED("succeeded"),
        ERRORED("errored"),
        RATE_LIMITED("rate-limited"),
        NO_HOST("without a host"),
        TIMED_OUT("timed out"),
        CLIENT_GONE("client gone");

        private final String label;

        Outcome(String label) {
            this.label = label;
        }
    }

    private final List<String> operations;
    private final HostRegistry hosts;
    private final long maxStallMs;
    private final Log log;
    private final List<Map<Outcome, AtomicLong>> countsByOperation; // the list index is the operation's index

    RequestOutcomes(List<String> operations, HostRegistry hosts, long maxStallMs, Log log) {
        this.operations = operations;
        this.hosts = hosts;
        this.maxStallMs = maxStallMs;
        this.log = log;
        countsByOperation = operations.stream().map(operation -> zeroCounts()).toList();
    }

    private static Map<Outcome, AtomicLong> zeroCounts() {
        Map<Outcome, AtomicLong> countsByOutcome = new EnumMap<>(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            countsByOutcome.put(outcome, new AtomicLong());
        }
        return countsByOutcome;
    }

    private void count(int operation, Outcome outcome) {
        countsByOperation.get(operation).get(outcome).incrementAndGet();
    }

    /** Counts a request that the gateway rejects by itself. */
    void rejected(int operation, FailureReason reason) {
        count(
                operation,
                switch (reason) {
                    case RATE_LIMITED -> Outcome.RATE_LIMITED;
                    case NO_HOST -> Outcome.NO_HOST;
                    case ERRORED -> Outcome.ERRORED;
                    case TIMED_OUT -> Outcome.TIMED_OUT;
                });
        if (reason == FailureReason.NO_HOST) {
            log.warn(
                    Http2Gateway.LOG_SUBJECT,
                    "rejecting a request for " + operations.get(operation) + " with 503 because no host can be picked");
        }
    }

    /** Counts a request whose response from a host is forwarded. */
    void responseStarted(int operation, boolean isError) {
        count(operation, isError ? Outcome.ERRORED : Outcome.SUCCEEDED);
    }

    void clientGone(int operation) {
        count(operation, Outcome.CLIENT_GONE);
    }

    /** Logs a client that has accepted no response data for too long; the request was counted when its response began. */
    void clientStalled(int operation, Stream client) {
        log.warn(
                Http2Gateway.CLIENT_LOG_SUBJECT,
                client.getSession().getRemoteSocketAddress() + " has accepted no data of a response to "
                        + operations.get(operation) + " for " + maxStallMs + " ms; resetting stream " + client.getId());
    }

    /** Counts and logs a request whose client has stopped within its body while other requests lacked capacity. */
    void bodyStopped(int operation, Stream client) {
        count(operation, Outcome.TIMED_OUT);
        log.info(
                Http2Gateway.CLIENT_LOG_SUBJECT,
                client.getSession().getRemoteSocketAddress() + " has stopped within the body of a request for "
                        + operations.get(operation) + " while other requests lack capacity; answering 408 on stream "
                        + client.getId());
    }

    /** Counts and logs a host's response that broke off before its end. */
    void responseBrokenOff(int operation, int host, AttemptFailure failure) {
        count(operation, Outcome.ERRORED);
        log.warn(
                Http2Gateway.LOG_SUBJECT,
                "host " + hosts.host(host).id() + " broke off its response to " + operations.get(operation)
                        + ", so the client's stream is reset: " + Responses.logName(failure.cause()));
    }

    /** Counts and logs a host's response whose headers the client does not accept. */
    void responseTooLarge(int operation, int host) {
        count(operation, Outcome.ERRORED);
        log.warn(
                Http2Gateway.LOG_SUBJECT,
                "answering 502 for " + operations.get(operation) + " because the client accepts fewer bytes of headers"
                        + " than the response of host " + hosts.host(host).id() + " has");
    }

    /** Logs a write to a client that has failed for another reason than the loss of its stream or connection. */
    void clientWriteFailed(int operation, Stream client, Throwable failure) {
        log.error(
                Http2Gateway.LOG_SUBJECT,
                "cannot write a response to " + operations.get(operation) + ", so the client's stream " + client.getId()
                        + " is reset: " + failure);
    }

    /** Logs an internal error of the gateway. */
    void internalError(RuntimeException error) {
        StackTraceElement[] trace = error.getStackTrace();
        log.error("fault", error + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    /** Formats the counts of all operations for the log. */
    String totals() {
        StringBuilder text = new StringBuilder();
        for (int operation = 0; operation < operations.size(); operation++) {
            text.append(operation > 0 ? "; " : "")
                    .append(operations.get(operation))
                    .append(' ');
            text.append(countsByOperation.get(operation).entrySet().stream()
                    .map(entry -> entry.getValue() + " " + entry.getKey().label)
                    .collect(Collectors.joining(" ")));
        }
        return text.toString();
    }
}
