package linenring.gateway;

import linenring.routing.StallDetector;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.DataFrame;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.util.Callback;

/**
 * Forwards a host's response to the client: headers, body, trailers (RFC 9113, 8.1). At most one frame is being written
 * at a time, so that a slow client slows down its host and the gateway buffers nothing in between. Only the request's
 * serialized tasks may call its methods.
 */
final class ResponseForwarder {
    private final ProxiedRequest request;
    private final Stream clientStream;
    private final StallDetector stallDetector;
    private ReceiveBuffer received; // null until the response headers have arrived
    private boolean started;
    private boolean isWritingData;
    private boolean complete;
    private HttpFields trailers; // Jetty delivers the trailers before the last part of the body has been read

    ResponseForwarder(ProxiedRequest request) {
        this.request = request;
        clientStream = request.clientStream();
        stallDetector = request.stallDetector();
    }

    /** Whether the response headers were sent to the client. */
    boolean isStarted() {
        return started;
    }

    /** Whether the complete response was forwarded. */
    boolean isComplete() {
        return complete;
    }

    void setHostStream(Stream stream) {
        received = ReceiveBuffer.of(stream);
    }

    /**
     * Sends the response headers after the interim responses; {@code isLast} is true if the response has neither a body nor
     * trailers.
     */
    void start(MetaData.Response head, boolean isLast) {
        started = true;
        request.body().discardRetained();
        stallDetector.clientWriteStarted(System.nanoTime());
        request.interimResponses().runAfterwards(() -> sendHeaders(head, isLast));
    }

    private void sendHeaders(MetaData.Response head, boolean isLast) {
        clientStream.headers(new HeadersFrame(clientStream.getId(), head, null, isLast), clientCallback(() -> {
            stallDetector.clientWriteEnded();
            if (isLast) {
                finish();
            } else {
                forwardNext();
            }
        }));
    }

    void trailersReceived(HttpFields fields) {
        trailers = fields;
        forwardNext();
    }

    /** Forwards the next part of the body, if one is available and no write is in progress. */
    void forwardNext() {
        if (request.hasEnded() || !started || isWritingData || stallDetector.isWritingToClient()) {
            return;
        }
        ReceiveBuffer.Chunk chunk = received.read();
        if (chunk == null) {
            stallDetector.hostWaitStarted(System.nanoTime());
            return;
        }
        stallDetector.hostWaitEnded();
        if (chunk.isLast() && trailers != null && !chunk.bytes().hasRemaining()) {
            sendTrailers();
        } else {
            forwardChunk(chunk);
        }
    }

    private void forwardChunk(ReceiveBuffer.Chunk chunk) {
        int length = chunk.bytes().remaining();
        isWritingData = true;
        stallDetector.clientWriteStarted(System.nanoTime());
        clientStream.data(
                new DataFrame(clientStream.getId(), chunk.bytes(), chunk.isLast() && trailers == null),
                Callback.from(
                        () -> {
                            received.forwarded(length);
                            request.execute(() -> dataWritten(chunk.isLast()));
                        },
                        failure -> {
                            received.forwarded(length);
                            request.execute(() -> request.clientWriteFailed(failure));
                        }));
    }

    private void dataWritten(boolean isLast) {
        isWritingData = false;
        stallDetector.clientWriteEnded();
        if (!isLast) {
            forwardNext();
        } else if (trailers != null) {
            sendTrailers();
        } else {
            finish();
        }
    }

    private void sendTrailers() {
        MetaData trailerSection = new MetaData(HttpVersion.HTTP_2, trailers);
        if (!HeaderListSize.isAccepted(clientStream.getSession(), trailerSection)) {
            request.abortForTooLargeTrailers();
            return;
        }
        clientStream.headers(
                new HeadersFrame(clientStream.getId(), trailerSection, null, true), clientCallback(this::finish));
    }

    private Callback clientCallback(Runnable onSuccess) {
        return Callback.from(
                () -> request.execute(onSuccess), failure -> request.execute(() -> request.clientWriteFailed(failure)));
    }

    /**
     * Ends the request after its complete response. The unread part of the request body is not needed any more, so the
     * client's stream is reset with NO_ERROR (RFC 9113, 8.1).
     */
    private void finish() {
        complete = true;
        if (!request.hasEnded() && !request.body().isFullyRead()) {
            Streams.reset(clientStream, ErrorCode.NO_ERROR);
        }
        request.end();
    }
}
