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

/** Counts by operation how requests end, and logs the ends that an operator has to look at. Thread-safe. */
final class RequestOutcomes {
    /** How a request ends, in the order in which totals are logged. */
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
    private final List<Map<Outcome, AtomicLong>> counts; // by operation

    RequestOutcomes(List<String> operations, HostRegistry hosts, long maxStallMs, Log log) {
        this.operations = operations;
        this.hosts = hosts;
        this.maxStallMs = maxStallMs;
        this.log = log;
        counts = operations.stream().map(operation -> zeroCounts()).toList();
    }

    private static Map<Outcome, AtomicLong> zeroCounts() {
        Map<Outcome, AtomicLong> zero = new EnumMap<>(Outcome.class);
        for (Outcome outcome : Outcome.values()) {
            zero.put(outcome, new AtomicLong());
        }
        return zero;
    }

    private void count(int operation, Outcome outcome) {
        counts.get(operation).get(outcome).incrementAndGet();
    }

    /** The gateway answers by itself. */
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
            log.warn(Http2Gateway.LOG_SUBJECT, "no host can be picked for " + operations.get(operation) + ": 503");
        }
    }

    /** A host's answer is forwarded. */
    void answered(int operation, boolean errored) {
        count(operation, errored ? Outcome.ERRORED : Outcome.SUCCEEDED);
    }

    void clientGone(int operation) {
        count(operation, Outcome.CLIENT_GONE);
    }

    /** The client has not taken an answer for too long; its request was counted when the answer began. */
    void clientStalled(int operation, Stream client) {
        log.warn(
                Http2Gateway.CLIENT_LOG_SUBJECT,
                client.getSession().getRemoteSocketAddress() + " takes nothing of an answer to "
                        + operations.get(operation) + " for " + maxStallMs + " ms: stream " + client.getId()
                        + " reset");
    }

    /** The host did not finish the answer that it had begun. */
    void answerBrokeOff(int operation, int host, AttemptFailure failure) {
        count(operation, Outcome.ERRORED);
        log.warn(
                Http2Gateway.LOG_SUBJECT,
                "host " + hosts.host(host).id() + " broke off in its answer to " + operations.get(operation) + ": "
                        + Responses.logName(failure.cause()));
    }

    /** A fault of the gateway itself. */
    void internalError(RuntimeException error) {
        StackTraceElement[] trace = error.getStackTrace();
        log.error("fault", error + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    /** All counts by operation, for the log. */
    String totals() {
        StringBuilder text = new StringBuilder();
        for (int operation = 0; operation < operations.size(); operation++) {
            text.append(operation > 0 ? "; " : "")
                    .append(operations.get(operation))
                    .append(' ');
            text.append(counts.get(operation).entrySet().stream()
                    .map(entry -> entry.getValue() + " " + entry.getKey().label)
                    .collect(Collectors.joining(" ")));
        }
        return text.toString();
    }
}
