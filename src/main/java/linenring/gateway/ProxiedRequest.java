package linenring.gateway;

import java.util.function.Consumer;
import linenring.routing.AttemptFailure;
import linenring.routing.NextStep;
import linenring.routing.RetryDecision;
import linenring.routing.StallDetector;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/**
 * One client's request, from its first frame to its end: does what its {@link RetryDecision} decides, one
 * {@link Attempt} after the other.
 *
 * <p>All that happens to it, its attempts included, is handled by serialized tasks ({@link #execute}), which alone touch
 * its state; they run on whichever thread brings the event. No lock is held while Jetty is called, since Jetty calls
 * back for other requests.
 */
final class ProxiedRequest implements Stream.Listener {
    /**
     * The client's side of a request.
     *
     * @param client    its stream
     * @param headers   as they came, and as hosts get them
     * @param operation its index
     * @param body      as far as it was read
     * @param stalls    who keeps the answer from moving on
     */
    record ClientRequest(Stream client, HeadersFrame headers, int operation, RequestBody body, StallDetector stalls) {}

    private final ClientRequest clientRequest;
    private final RetryDecision decision;
    private final RequestServices services;
    private final Consumer<ProxiedRequest> onEnd;
    private final SerializedInvoker invoker = new SerializedInvoker();
    private Attempt currentAttempt; // null while none is active
    private boolean over;

    /** {@code onEnd}: called once, by a serialized task. */
    ProxiedRequest(
            ClientRequest clientRequest,
            RetryDecision decision,
            RequestServices services,
            Consumer<ProxiedRequest> onEnd) {
        this.clientRequest = clientRequest;
        this.decision = decision;
        this.services = services;
        this.onEnd = onEnd;
    }

    /** Runs a task after those that are there, on this thread or on the one that runs them now. */
    void execute(Runnable task) {
        invoker.run(() -> {
            try {
                task.run();
            } catch (RuntimeException fault) { // a fault in one request reaches no other
                services.outcomes().internalError(fault);
                decision.abandon();
                abort(ErrorCode.INTERNAL_ERROR);
            }
        });
    }

    void begin() {
        execute(() -> follow(decision.begin(services.nowMs(), body().isRetained())));
    }

    private void follow(NextStep step) {
        if (step instanceof NextStep.Send send) {
            currentAttempt = new Attempt(this, send);
            currentAttempt.begin();
        } else if (step instanceof NextStep.Reject reject) {
            services.outcomes().rejected(operation(), reject.reason());
            answer(Responses.status(reject.reason()), Responses.fields(reject));
        }
    }

    // The client's stream.

    @Override
    public void onHeaders(Stream stream, HeadersFrame frame) {
        execute(() -> {
            body().setTrailers(frame.getMetaData().getHttpFields());
            if (currentAttempt != null) {
                currentAttempt.pumpRequestBody(); // the end of the body is still to be read
            }
        });
    }

    @Override
    public void onDataAvailable(Stream stream) {
        execute(() -> {
            if (currentAttempt != null) {
                currentAttempt.requestDataAvailable();
            }
        });
    }

    @Override
    public void onReset(Stream stream, ResetFrame frame, Callback callback) {
        execute(this::clientGone);
        callback.succeeded();
    }

    @Override
    public void onFailure(Stream stream, int error, String reason, Throwable failure, Callback callback) {
        execute(this::clientGone);
        callback.succeeded();
    }

    // What attempts ask, within serialized tasks.

    Stream client() {
        return clientRequest.client();
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

    StallDetector stalls() {
        return clientRequest.stalls();
    }

    RequestServices services() {
        return services;
    }

    /** Whether its client has its answer, or is gone. */
    boolean isOver() {
        return over;
    }

    /** The current attempt failed, and no answer has begun. */
    void attemptFailed(AttemptFailure failure) {
        NextStep step = decision.attemptFailed(failure, services.nowMs(), body().isRetained());
        currentAttempt = null;
        follow(step);
    }

    /** The host of the current attempt has answered with an error of its own: forward that, or {@link #retry}. */
    NextStep attemptErrored() {
        return decision.attemptFailed(AttemptFailure.answeredErrored(), services.nowMs(), body().isRetained());
    }

    /** The host of the current attempt has answered well. */
    NextStep attemptSucceeded() {
        return decision.attemptSucceeded(services.nowMs());
    }

    /** Replaces the current attempt by the next one; the answer of the current one is not forwarded. */
    void retry(NextStep.Send step) {
        follow(step);
    }

    /** The client waits for nothing any more. */
    void clientGone() {
        if (!over) {
            decision.abandon();
            services.outcomes().clientGone(operation());
            end();
        }
    }

    /** Ends the client's stream where its answer can't be complete any more. */
    void abort(ErrorCode code) {
        if (!over) {
            Responses.reset(client(), code);
            end();
        }
    }

    /** The host did not finish the answer that it had begun: the client's stream is reset, nothing else is tried. */
    void answerBrokeOff(int host, AttemptFailure failure) {
        services.outcomes().answerBrokeOff(operation(), host, failure);
        abort(ErrorCode.INTERNAL_ERROR);
    }

    /** The client has its answer, or never will. */
    void end() {
        if (over) {
            return;
        }
        over = true;
        stalls().stop();
        Attempt last = currentAttempt;
        currentAttempt = null;
        if (last != null) {
            last.abandon();
        }
        body().discardRetained();
        onEnd.accept(this);
    }

    /** Answers with a status of the gateway's; what the client still sends is not read. */
    private void answer(int status, HttpFields fields) {
        if (!over) {
            Responses.send(client(), status, fields, body().isFullyRead());
            end();
        }
    }

    /** To be called periodically, by any thread. */
    void endIfStalled(long nowNanos) {
        StallDetector.Stall stall = stalls().check(nowNanos);
        if (stall != StallDetector.Stall.NONE) {
            execute(() -> {
                if (!over && stalls().check(nowNanos) == stall) { // else it has moved on meanwhile
                    endStalled(stall);
                }
            });
        }
    }

    private void endStalled(StallDetector.Stall stall) {
        if (stall == StallDetector.Stall.CLIENT) {
            services.outcomes().clientStalled(operation(), client());
            abort(ErrorCode.ENHANCE_YOUR_CALM_ERROR);
        } else {
            answerBrokeOff(currentAttempt.host(), AttemptFailure.answerStalled());
        }
    }
}
