package linenring.gateway;

import java.util.function.Consumer;
import linenring.routing.AttemptFailure;
import linenring.routing.NextStep;
import linenring.routing.RetryDecision;
import linenring.routing.StallDetector;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.HTTP2Stream;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/**
 * Handles one client's request from its headers to its end, by making one {@link Attempt} after another as its
 * {@link RetryDecision} decides.
 *
 * <p>All events of a request and of its attempts are handled by serialized tasks ({@link #execute}), which run on the
 * thread that delivers the event. Only these tasks access the request's state. No lock is held during calls to Jetty,
 * since Jetty may call back for other requests.
 */
final class ProxiedRequest implements Stream.Listener {
    /**
     * The client's side of a request.
     *
     * @param stream        the client's stream
     * @param headers       the request headers, which are forwarded to hosts unchanged
     * @param operation     index of the request's operation
     * @param body          reads and retains the request body
     * @param stallDetector detects whether the client or the host stalls the response
     * @param maxHeaderBytes limit for the interim responses that wait until the client has accepted an earlier one
     */
    record ClientRequest(
            Stream stream,
            HeadersFrame headers,
            int operation,
            RequestBody body,
            StallDetector stallDetector,
            int maxHeaderBytes) {}

    private final ClientRequest clientRequest;
    private final RetryDecision decision;
    private final RequestServices services;
    private final Consumer<ProxiedRequest> onEnd;
    private final SerializedInvoker invoker = new SerializedInvoker();
    private final InterimResponses interimResponses;
    private Attempt currentAttempt; // null while no attempt is active
    private boolean ended;
    private volatile boolean isWithdrawn; // the client's connection ends, and the request has left the queue for a host

    /** Creates a request that calls {@code onEnd} once, from a serialized task, when it has ended. */
    ProxiedRequest(
            ClientRequest clientRequest,
            RetryDecision decision,
            RequestServices services,
            Consumer<ProxiedRequest> onEnd) {
        this.clientRequest = clientRequest;
        this.decision = decision;
        this.services = services;
        this.onEnd = onEnd;
        interimResponses = new InterimResponses(this, clientRequest.maxHeaderBytes());
    }

    /** Runs a task after the queued tasks, on this thread or on the thread that is running them. */
    void execute(Runnable task) {
        invoker.run(() -> {
            try {
                task.run();
            } catch (RuntimeException fault) { // a fault in one request must not affect other requests
                services.outcomes().internalError(fault);
                decision.abandon();
                abort(ErrorCode.INTERNAL_ERROR);
            }
        });
    }

    void begin() {
        execute(() -> executeStep(decision.begin(services.nowMs(), body().isRetained())));
    }

    private void executeStep(NextStep step) {
        if (step instanceof NextStep.Send send) {
            currentAttempt = new Attempt(this, send);
            currentAttempt.begin();
        } else if (step instanceof NextStep.Reject reject) {
            services.outcomes().rejected(operation(), reject.reason());
            sendResponse(Responses.rejectionStatus(reject.reason()), Responses.rejectionFields(reject));
        }
    }

    @Override
    public void onHeaders(Stream stream, HeadersFrame frame) {
        execute(() -> {
            body().setTrailers(frame.getMetaData().getHttpFields());
            if (currentAttempt != null) {
                currentAttempt.forwardRequestBody(); // forwards the remaining body and the trailers
            }
        });
    }

    @Override
    public void onDataAvailable(Stream stream) {
        if (body().receive()) {
            execute(() -> {
                stallDetector().bodyWaitEnded();
                if (currentAttempt != null) {
                    currentAttempt.forwardRequestBody();
                }
            });
        }
    }

    @Override
    public void onReset(Stream stream, ResetFrame frame, Callback callback) {
        execute(this::clientGone);
        callback.succeeded();
    }

    @Override
    public void onFailure(Stream stream, int error, String reason, Throwable failure, Callback callback) {
        if (!isWithdrawn && Streams.isConnectionEnding(stream)) {
            withdrawAll(stream.getSession());
        }
        execute(this::clientGone);
        callback.succeeded();
    }

    /**
     * Takes the requests of a connection that ends out of the queues for hosts, before the first of them ends. Jetty ends one after
     * the other; a request that ends gives its stream to the next one in the queue, whose client has left as well.
     */
    private static void withdrawAll(Session session) {
        for (Stream stream : session.getStreams()) {
            if (((HTTP2Stream) stream).getListener() instanceof ProxiedRequest request) {
                request.withdraw();
            }
        }
    }

    private void withdraw() {
        isWithdrawn = true;
        execute(() -> {
            if (currentAttempt != null) {
                currentAttempt.withdraw();
            }
        });
    }

    Stream clientStream() {
        return clientRequest.stream();
    }

    HeadersFrame headers() {
        return clientRequest.headers();
    }

    int operation() {
        return clientRequest.operation();
    }

    RequestBody body() {
        return clientRequest.body();
    }

    InterimResponses interimResponses() {
        return interimResponses;
    }

    StallDetector stallDetector() {
        return clientRequest.stallDetector();
    }

    RequestServices services() {
        return services;
    }

    /** Whether the request has ended: the client's response is complete or aborted, or the client has left. */
    boolean hasEnded() {
        return ended;
    }

    /** Handles the failure of the current attempt before a response was forwarded. */
    void attemptFailed(AttemptFailure failure) {
        NextStep step = decision.attemptFailed(failure, services.nowMs(), body().isRetained());
        currentAttempt = null;
        executeStep(step);
    }

    /** Decides whether a server error of the current attempt's host is forwarded, or followed by {@link #retry}. */
    NextStep attemptErrored() {
        return decision.attemptFailed(AttemptFailure.answeredErrored(), services.nowMs(), body().isRetained());
    }

    /** Records that the current attempt's host responded without a server error. */
    NextStep attemptSucceeded() {
        return decision.attemptSucceeded(services.nowMs());
    }

    /** Replaces the current attempt by a new one, without forwarding the current attempt's response. */
    void retry(NextStep.Send step) {
        executeStep(step);
    }

    /** Ends the request after the client has reset its stream or lost its connection. */
    void clientGone() {
        if (!ended) {
            decision.abandon();
            services.outcomes().clientGone(operation());
            end();
        }
    }

    /**
     * Ends the request after a write to the client has failed. Unless the client has left, its stream is reset: otherwise it
     * would wait for a response that never arrives.
     */
    void clientWriteFailed(Throwable failure) {
        if (ended) {
            return;
        }
        Streams.closeIfNotEncodable(clientStream(), failure);
        if (Streams.isPeerGone(clientStream(), failure)) {
            clientGone();
        } else {
            services.outcomes().clientWriteFailed(operation(), clientStream(), failure);
            decision.abandon();
            abort(ErrorCode.INTERNAL_ERROR);
        }
    }

    /** Resets the client's stream and ends the request when its response cannot be completed. */
    void abort(ErrorCode code) {
        if (!ended) {
            Streams.reset(clientStream(), code);
            end();
        }
    }

    /** Resets the client's stream after the host has broken off its response; a retry is not possible any more. */
    void responseBrokenOff(int host, AttemptFailure failure) {
        services.outcomes().responseBrokenOff(operation(), host, failure);
        abort(ErrorCode.INTERNAL_ERROR);
    }

    /** Answers with an error of the gateway when the client accepts fewer bytes of headers than the host's response has. */
    void rejectTooLargeResponse(int host) {
        services.outcomes().responseTooLarge(operation(), host);
        sendResponse(HttpStatus.BAD_GATEWAY_502, Responses.emptyBodyFields());
    }

    /** Resets both streams when a peer accepts fewer bytes than the trailers have; they can be neither sent nor left out. */
    void abortForTooLargeTrailers() {
        decision.abandon();
        abort(ErrorCode.INTERNAL_ERROR);
    }

    /** Ends the request and its current attempt, and releases the retained body. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        stallDetector().stop();
        Attempt lastAttempt = currentAttempt;
        currentAttempt = null;
        if (lastAttempt != null) {
            lastAttempt.abandon();
        }
        body().close();
        onEnd.accept(this);
    }

    /** Sends a response of the gateway itself, without reading the rest of the request body. */
    private void sendResponse(int status, HttpFields fields) {
        interimResponses.runAfterwards(() -> {
            if (!ended) {
                Responses.send(clientStream(), status, fields, body().isFullyRead());
                end();
            }
        });
    }

    /** Ends the request if its response has stalled; called periodically, from any thread. */
    void endIfStalled(long nowNanos) {
        StallDetector.Stall stall = stallDetector().check(nowNanos);
        if (stall != StallDetector.Stall.NONE) {
            execute(() -> {
                if (!ended
                        && stallDetector().check(nowNanos)
                                == stall) { // the response may have progressed since the first check
                    endStalled(stall);
                }
            });
        }
    }

    /**
     * Answers 408 (RFC 9110, 15.5.9) if the client has stopped within the request body and no response has begun; called from any
     * thread while other requests lack capacity that this one holds.
     */
    void endIfBodyStopped(long nowNanos) {
        if (stallDetector().isBodyStopped(nowNanos)) {
            execute(() -> {
                if (!ended
                        && !interimResponses.hasFinalResponse()
                        && stallDetector().isBodyStopped(nowNanos)) {
                    decision.abandon();
                    services.outcomes().bodyStopped(operation(), clientStream());
                    sendResponse(HttpStatus.REQUEST_TIMEOUT_408, Responses.emptyBodyFields());
                }
            });
        }
    }

    private void endStalled(StallDetector.Stall stall) {
        if (stall == StallDetector.Stall.CLIENT) {
            services.outcomes().clientStalled(operation(), clientStream());
            abort(ErrorCode.ENHANCE_YOUR_CALM_ERROR);
        } else {
            responseBrokenOff(currentAttempt.host(), AttemptFailure.answerStalled());
        }
    }
}
