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
 * One attempt of a request at one host: waits for a stream of the upstream connection pool, sends the request and
 * forwards the response, or reports how the attempt failed. Jetty and timers call from any thread; the fields that are
 * not volatile are accessed only by the request's serialized tasks.
 */
final class Attempt implements Stream.Listener, UpstreamConnections.StreamWaiter, Promise<Stream> {
    /** Time to wait for the report of a reset by the host, which Jetty delivers within the call that closes the stream. */
    private static final double RESET_REPORT_DELAY_MS = 10;

    private final ProxiedRequest request;
    private final RequestServices services;
    private final int host;
    private final UpstreamConnections upstream;
    private final double startedAtMs;
    private final double sendDeadlineMs;
    private final Scheduler.Task deadlineTask;
    private final RequestBodyForwarder requestBodyForwarder;
    private final ResponseForwarder responseForwarder;
    private UpstreamConnections.Connection connection; // null until the pool has granted a stream
    private Stream stream; // null until the request headers were sent
    private boolean hasSentHeaders; // the request headers were handed to Jetty, which may still be writing them
    private boolean hasOutcome; // the retry decision knows the attempt's outcome, or the attempt was abandoned
    private boolean hasReleasedStream; // the attempt's stream was given back to the connection
    private volatile boolean isResetByHost;
    private volatile Stream createdStream; // null until Jetty has created the stream; until then nothing was written

    Attempt(ProxiedRequest request, NextStep.Send step) {
        this.request = request;
        services = request.services();
        startedAtMs = services.nowMs();
        host = step.host();
        upstream = services.upstreams().upstream(host);
        sendDeadlineMs = step.sendDeadlineMs();
        responseForwarder = new ResponseForwarder(request);
        requestBodyForwarder = new RequestBodyForwarder(request, this::isFailed);
        deadlineTask = services.schedule(
                () -> request.execute(this::timedOut), Math.max(0, step.attemptDeadlineMs() - services.nowMs()));
    }

    void begin() {
        requestBodyForwarder.prepareReplay();
        upstream.requestStream(this);
    }

    int host() {
        return host;
    }

    /** Whether the attempt ended before a response was forwarded. */
    private boolean isFailed() {
        return hasOutcome && !responseForwarder.isStarted();
    }

    void forwardRequestBody() {
        requestBodyForwarder.sendNext();
    }

    @Override
    public void granted(UpstreamConnections.Connection grantedConnection) {
        request.execute(() -> {
            connection = grantedConnection;
            if (hasOutcome) {
                releaseStream();
            } else if (Streams.isConnectionLost(request.clientStream())) {
                releaseStream();
                request.clientGone();
            } else if (services.nowMs() > sendDeadlineMs) { // the attempt has waited too long for a connection
                releaseStream();
                failed(AttemptFailure.neverSent());
            } else if (!HeaderListSize.isAccepted(
                    connection.session(), request.headers().getMetaData())) {
                releaseStream();
                failed(AttemptFailure.headersTooLarge());
            } else {
                openStream();
            }
        });
    }

    private void openStream() {
        boolean isLast = requestBodyForwarder.startWithHeaders();
        hasSentHeaders = true;
        connection.session().newStream(new HeadersFrame(request.headers().getMetaData(), null, isLast), this, this);
    }

    @Override
    public void rejected() {
        request.execute(() -> failed(AttemptFailure.neverSent()));
    }

    @Override
    public void succeeded(Stream openedStream) {
        request.execute(() -> {
            useStream(openedStream);
            openedStream.setIdleTimeout(GatewayTransport.UNLIMITED); // the retry decision sets the attempt's deadline
            if (isFailed()) {
                cancelStream();
            } else if (!requestBodyForwarder.isEndSent()) {
                requestBodyForwarder.sendNext();
            }
        });
    }

    private void useStream(Stream openedStream) {
        stream = openedStream;
        requestBodyForwarder.setHostStream(openedStream);
        responseForwarder.setHostStream(openedStream);
    }

    /** Called by Jetty within {@code newStream}, before anything is written to the stream. */
    @Override
    public void onNewStream(Stream openedStream) {
        ReceiveBuffer.attachTo(openedStream);
        createdStream = openedStream;
    }

    /**
     * Called by Jetty when opening the stream has failed. When the connection is lost during the write of the headers, or
     * was closed by {@link #releaseStream}, this failure may be reported before the stream is notified that its number is
     * above the last stream of a GOAWAY.
     */
    @Override
    public void failed(Throwable failure) {
        request.execute(() -> {
            releaseStream();
            failed(createdStream == null ? AttemptFailure.streamNotCreated() : connectionLost(createdStream));
        });
    }

    /** Handles headers from the host; they may arrive before Jetty reports the request headers as sent. */
    @Override
    public void onHeaders(Stream hostStream, HeadersFrame frame) {
        request.execute(() -> {
            if (request.hasEnded() || isFailed()) {
                return;
            }
            useStream(hostStream);
            if (!(frame.getMetaData() instanceof MetaData.Response head)) {
                responseForwarder.trailersReceived(frame.getMetaData().getHttpFields());
            } else if (head.getStatus() < HttpStatus.OK_200) {
                request.interimResponses().forward(head);
            } else {
                responseReceived(head, frame.isEndStream());
            }
        });
    }

    private void responseReceived(MetaData.Response head, boolean isLast) {
        boolean isError = Responses.isServerError(head.getStatus());
        recordAttempt(!isError);
        NextStep step = isError ? request.attemptErrored() : request.attemptSucceeded();
        hasOutcome = true;
        deadlineTask.cancel();
        if (step instanceof NextStep.Send send) {
            if (!isLast) {
                cancelStream();
            }
            request.retry(send);
        } else if (step instanceof NextStep.Forward
                && !HeaderListSize.isAccepted(request.clientStream().getSession(), head)) {
            request.rejectTooLargeResponse(host);
        } else if (step instanceof NextStep.Forward) {
            services.outcomes().responseStarted(request.operation(), isError);
            responseForwarder.start(head, isLast);
        }
    }

    @Override
    public void onDataAvailable(Stream hostStream) {
        if (ReceiveBuffer.of(hostStream).receive()) {
            request.execute(responseForwarder::forwardNext);
        }
    }

    @Override
    public void onReset(Stream hostStream, ResetFrame frame, Callback callback) {
        boolean isRefused = frame.getError() == ErrorCode.REFUSED_STREAM_ERROR.code;
        boolean hasRespondedEarly = frame.getError() == ErrorCode.NO_ERROR.code;
        isResetByHost = true;
        request.execute(() -> {
            releaseStream();
            // after a reset with NO_ERROR the rest of a complete response is still read (RFC 9113, 8.1)
            if (!(hasRespondedEarly && responseForwarder.isStarted())) {
                failed(AttemptFailure.reset(isRefused, responseForwarder.isStarted()));
            }
        });
        callback.succeeded();
    }

    @Override
    public void onFailure(Stream hostStream, int error, String reason, Throwable failure, Callback callback) {
        request.execute(() -> {
            releaseStream();
            failed(connectionLost(hostStream));
        });
        callback.succeeded();
    }

    /** Handles the close of the stream; a reset came from the host, which Jetty reports next, or from Jetty itself. */
    @Override
    public void onClosed(Stream hostStream) {
        request.execute(() -> {
            releaseStream();
            if (hostStream.isReset() && !isFailed() && !request.hasEnded()) {
                services.schedule(() -> request.execute(this::failIfResetByJetty), RESET_REPORT_DELAY_MS);
            }
        });
    }

    /**
     * Fails the attempt if Jetty has reset its stream. Jetty resets a stream with a malformed message, such as a body
     * whose length differs from its Content-Length (RFC 9113, 8.1.1), and calls no listener; without this check the client
     * would get no response until the deadline.
     */
    private void failIfResetByJetty() {
        if (!isResetByHost) {
            failed(AttemptFailure.reset(false, responseForwarder.isStarted()));
        }
    }

    private AttemptFailure connectionLost(Stream lostStream) {
        return AttemptFailure.connectionLost(connection.isNotProcessed(lostStream.getId()));
    }

    private void timedOut() {
        if (!hasOutcome) {
            boolean wasSent = hasSentHeaders;
            abandonStream();
            failed(AttemptFailure.timedOut(wasSent));
        }
    }

    private void failed(AttemptFailure failure) {
        if (responseForwarder.isStarted() && !request.hasEnded()) { // the client has received a part of the response
            request.responseBrokenOff(host, failure);
        } else if (!hasOutcome) {
            hasOutcome = true;
            deadlineTask.cancel();
            discardResponse();
            recordAttempt(!failure.countsAgainstHost());
            request.attemptFailed(failure);
        }
    }

    private void recordAttempt(boolean isSuccess) {
        services.statistics().recordAttempt(host, isSuccess, services.nowMs() - startedAtMs);
    }

    /** Ends the attempt without an outcome; a client that leaves does not count against the host. */
    void abandon() {
        deadlineTask.cancel();
        hasOutcome = true;
        abandonStream();
    }

    /** Leaves the queue for a stream; an attempt that already has a stream continues until its request ends. */
    void withdraw() {
        if (connection == null) {
            upstream.cancel(this);
        }
    }

    private void abandonStream() {
        if (connection != null) {
            cancelStream();
        } else {
            upstream.cancel(
                    this); // a grant or rejection that the pool has already decided finds that the attempt has ended
        }
    }

    /**
     * Resets the stream, unless both sides of it are complete. The stream counts as active until it is closed; a stream
     * that is still being opened is reset as soon as it is open.
     */
    private void cancelStream() {
        discardResponse();
        boolean isComplete = responseForwarder.isComplete() && requestBodyForwarder.isEndSent();
        if (stream != null && !stream.isReset() && !stream.isClosed() && !isComplete) {
            Streams.reset(stream, ErrorCode.CANCEL_STREAM_ERROR);
        }
    }

    /** Discards the response data that was not forwarded, and what the host sends until its stream is closed. */
    private void discardResponse() {
        ReceiveBuffer received = ReceiveBuffer.of(createdStream);
        if (received != null) {
            received.close();
        }
    }

    private void releaseStream() {
        if (connection != null && !hasReleasedStream) {
            hasReleasedStream = true;
            connection.streamClosed();
        }
    }
}
