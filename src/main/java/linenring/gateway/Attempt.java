package linenring.gateway;

import linenring.routing.AttemptFailure;
import linenring.routing.NextStep;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * One attempt of a request at one host: waits for a stream, sends the request, forwards the answer, or finds out how it
 * failed. Jetty and timers call from any thread; all but the volatile fields are touched by the request's serialized
 * tasks alone.
 */
final class Attempt implements Stream.Listener, UpstreamConnections.StreamWaiter, Promise<Stream> {
    /** After a stream closed as reset: a host's own reset is reported within the same call. */
    private static final double RESET_REPORT_MS = 10;

    private final ProxiedRequest request;
    private final RequestServices services;
    private final int host;
    private final UpstreamConnections upstream;
    private final double startedAtMs;
    private final double sendByMs;
    private final Scheduler.Task deadline;
    private final RequestBodyForwarder requestBody;
    private final AnswerForwarder answer;
    private UpstreamConnections.Connection connection; // null until a stream was granted
    private Stream stream; // null until the headers were sent
    private boolean headersSent; // handed to Jetty
    private boolean decided; // its end was reported to the decision, or nobody waits for it any more
    private boolean released; // its stream of the connection
    private volatile boolean resetByHost;
    private volatile Stream createdStream; // null while Jetty has made none, and so written nothing

    Attempt(ProxiedRequest request, NextStep.Send step) {
        this.request = request;
        services = request.services();
        startedAtMs = services.nowMs();
        host = step.host();
        upstream = services.upstreams().upstream(host);
        sendByMs = step.sendByMs();
        answer = new AnswerForwarder(request);
        requestBody = new RequestBodyForwarder(request, this::isFailed);
        deadline = services.schedule(
                () -> request.execute(this::timedOut), Math.max(0, step.giveUpAtMs() - services.nowMs()));
    }

    void begin() {
        requestBody.prepareReplay();
        upstream.requestStream(this);
    }

    int host() {
        return host;
    }

    /** Whether its end is decided without an answer. */
    private boolean isFailed() {
        return decided && !answer.isStarted();
    }

    void requestDataAvailable() {
        requestBody.dataAvailable();
    }

    void pumpRequestBody() {
        requestBody.pump();
    }

    // The stream to the host is opened.

    @Override
    public void granted(UpstreamConnections.Connection granted) {
        request.execute(() -> {
            connection = granted;
            if (decided) {
                release();
            } else if (services.nowMs() > sendByMs) { // it waited too long for a connection
                release();
                failed(AttemptFailure.neverSent());
            } else {
                openStream();
            }
        });
    }

    private void openStream() {
        boolean last = requestBody.startWithHeaders();
        headersSent = true;
        connection.session().newStream(new HeadersFrame(request.headers().getMetaData(), null, last), this, this);
    }

    @Override
    public void rejected() {
        request.execute(() -> failed(AttemptFailure.neverSent()));
    }

    @Override
    public void succeeded(Stream opened) {
        request.execute(() -> {
            useStream(opened);
            opened.setIdleTimeout(GatewayTransport.UNLIMITED); // the decision says how long it may take
            if (isFailed()) {
                cancelStream();
            } else if (!requestBody.isEndSent()) {
                requestBody.pump();
            }
        });
    }

    private void useStream(Stream opened) {
        stream = opened;
        requestBody.setHostStream(opened);
        answer.setHostStream(opened);
    }

    /** Before anything is written; within the call of {@code newStream}. */
    @Override
    public void onNewStream(Stream opened) {
        createdStream = opened;
    }

    /**
     * The stream was not opened. A connection that is lost while the headers are written, or closed by {@link #release},
     * may be reported here before the stream is notified that a GOAWAY leaves it out.
     */
    @Override
    public void failed(Throwable failure) {
        request.execute(() -> {
            release();
            failed(createdStream == null ? AttemptFailure.streamNotCreated() : connectionLost(createdStream));
        });
    }

    // The answer.

    /** The answer may come before the request's headers are reported as sent. */
    @Override
    public void onHeaders(Stream from, HeadersFrame frame) {
        request.execute(() -> {
            if (request.isOver() || isFailed()) {
                return;
            }
            useStream(from);
            if (!(frame.getMetaData() instanceof MetaData.Response head)) {
                answer.trailersReceived(frame.getMetaData().getHttpFields());
            } else if (head.getStatus() < HttpStatus.OK_200) {
                answer.forwardInterim(head);
            } else {
                answered(head, frame.isEndStream());
            }
        });
    }

    private void answered(MetaData.Response head, boolean last) {
        boolean errored = Responses.isServerError(head.getStatus());
        recordAttempt(!errored);
        NextStep step = errored ? request.attemptErrored() : request.attemptSucceeded();
        decided = true;
        deadline.cancel();
        if (step instanceof NextStep.Send send) {
            if (!last) {
                cancelStream();
            }
            request.retry(send);
        } else if (step instanceof NextStep.Forward) {
            services.outcomes().answered(request.operation(), errored);
            answer.start(head, last);
        }
    }

    @Override
    public void onDataAvailable(Stream from) {
        request.execute(answer::pump);
    }

    // The attempt ends without an answer.

    @Override
    public void onReset(Stream from, ResetFrame frame, Callback callback) {
        boolean refused = frame.getError() == ErrorCode.REFUSED_STREAM_ERROR.code;
        boolean answeredEarly = frame.getError() == ErrorCode.NO_ERROR.code; // RFC 9113, 8.1
        resetByHost = true;
        request.execute(() -> {
            release();
            if (!(answeredEarly && answer.isStarted())) { // else the answer is complete, and is being read
                failed(AttemptFailure.reset(refused, answer.isStarted()));
            }
        });
        callback.succeeded();
    }

    @Override
    public void onFailure(Stream from, int error, String reason, Throwable failure, Callback callback) {
        request.execute(() -> {
            release();
            failed(connectionLost(from));
        });
        callback.succeeded();
    }

    /** A stream that is closed as reset was reset by the host, which is reported next, or by Jetty. */
    @Override
    public void onClosed(Stream from) {
        request.execute(() -> {
            release();
            if (from.isReset() && !isFailed() && !request.isOver()) {
                services.schedule(() -> request.execute(this::resetByJetty), RESET_REPORT_MS);
            }
        });
    }

    /**
     * Jetty resets what is no HTTP/2 message, such as a body of another length than was announced (RFC 9113, 8.1.1), and
     * reports it to nobody: without this the client would get no answer until the deadline.
     */
    private void resetByJetty() {
        if (!resetByHost) {
            failed(AttemptFailure.reset(false, answer.isStarted()));
        }
    }

    private AttemptFailure connectionLost(Stream lost) {
        return AttemptFailure.connectionLost(connection.isNotProcessed(lost.getId()));
    }

    private void timedOut() {
        if (!decided) {
            boolean sent = headersSent;
            abandonStream();
            failed(AttemptFailure.timedOut(sent));
        }
    }

    private void failed(AttemptFailure failure) {
        if (answer.isStarted() && !request.isOver()) { // the client has part of the answer
            request.answerBrokeOff(host, failure);
        } else if (!decided) {
            decided = true;
            deadline.cancel();
            recordAttempt(!failure.countsAgainstHost());
            request.attemptFailed(failure);
        }
    }

    private void recordAttempt(boolean success) {
        services.statistics().recordAttempt(host, success, services.nowMs() - startedAtMs);
    }

    /** Nobody waits for it any more; that a client left says nothing about the host. */
    void abandon() {
        deadline.cancel();
        decided = true;
        abandonStream();
    }

    private void abandonStream() {
        if (connection != null) {
            cancelStream();
        } else if (!upstream.cancel(this)) {
            decided = true; // granted or rejected by now, which sees this
        }
    }

    /**
     * Resets the stream, unless it closes by itself. It counts as active until it is closed; one that is not open yet is
     * reset once it is.
     */
    private void cancelStream() {
        boolean closesByItself = answer.isComplete() && requestBody.isEndSent();
        if (stream != null && !stream.isReset() && !stream.isClosed() && !closesByItself) {
            Responses.reset(stream, ErrorCode.CANCEL_STREAM_ERROR);
        }
    }

    private void release() {
        if (connection != null && !released) {
            released = true;
            connection.streamClosed();
        }
    }
}
