package linenring.gateway;

import linenring.routing.StallDetector;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.DataFrame;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.util.Callback;

/**
 * Forwards a host's answer to the client: headers, body, trailers (RFC 9113, 8.1). One piece is under way at a time, so
 * that a slow client slows its host and nothing is buffered in between. Used by the request's serialized tasks alone.
 */
final class AnswerForwarder {
    private final ProxiedRequest request;
    private final Stream client;
    private final StallDetector stalls;
    private Stream hostStream; // null until the answer has come
    private boolean started;
    private boolean writingData;
    private boolean complete;
    private HttpFields trailers; // Jetty hands them over before the rest of the body is read

    AnswerForwarder(ProxiedRequest request) {
        this.request = request;
        client = request.client();
        stalls = request.stalls();
    }

    /** Whether the client was sent the head of the answer. */
    boolean isStarted() {
        return started;
    }

    /** Whether all of it was forwarded. */
    boolean isComplete() {
        return complete;
    }

    void setHostStream(Stream stream) {
        hostStream = stream;
    }

    /** An interim response (RFC 9110, 15.2); 101 has no meaning in HTTP/2 (RFC 9113, 8.6). */
    void forwardInterim(MetaData.Response head) {
        if (head.getStatus() != HttpStatus.SWITCHING_PROTOCOLS_101 && !started) {
            client.headers(new HeadersFrame(client.getId(), head, null, false), Callback.NOOP);
        }
    }

    /** {@code last}: there is no body. */
    void start(MetaData.Response head, boolean last) {
        started = true;
        request.body().discardRetained();
        stalls.clientWriteStarted(System.nanoTime());
        client.headers(new HeadersFrame(client.getId(), head, null, last), clientCallback(() -> {
            stalls.clientWriteEnded();
            if (last) {
                finish();
            } else {
                pump();
            }
        }));
    }

    void trailersReceived(HttpFields fields) {
        trailers = fields;
        pump();
    }

    /** Forwards the next piece, if there is one and none is under way. */
    void pump() {
        if (request.isOver() || !started || writingData || stalls.isWritingToClient()) {
            return;
        }
        Stream.Data data = hostStream.readData();
        if (data == null) {
            stalls.hostWaitStarted(System.nanoTime());
            hostStream.demand();
            return;
        }
        stalls.hostWaitEnded();
        if (data.frame().isEndStream()
                && trailers != null
                && !data.frame().getByteBuffer().hasRemaining()) {
            data.release();
            sendTrailers();
        } else {
            send(data);
        }
    }

    private void send(Stream.Data data) {
        boolean last = data.frame().isEndStream();
        writingData = true;
        stalls.clientWriteStarted(System.nanoTime());
        client.data(
                new DataFrame(client.getId(), data.frame().getByteBuffer(), last && trailers == null),
                Callback.from(
                        () -> {
                            data.release();
                            request.execute(() -> sent(last));
                        },
                        failure -> {
                            data.release();
                            request.execute(request::clientGone);
                        }));
    }

    private void sent(boolean last) {
        writingData = false;
        stalls.clientWriteEnded();
        if (!last) {
            pump();
        } else if (trailers != null) {
            sendTrailers();
        } else {
            finish();
        }
    }

    private void sendTrailers() {
        MetaData last = new MetaData(HttpVersion.HTTP_2, trailers);
        client.headers(new HeadersFrame(client.getId(), last, null, true), clientCallback(this::finish));
    }

    private Callback clientCallback(Runnable onSuccess) {
        return Callback.from(() -> request.execute(onSuccess), failure -> request.execute(request::clientGone));
    }

    /** The host needs no more of the request, nor does the gateway (RFC 9113, 8.1). */
    private void finish() {
        complete = true;
        if (!request.isOver() && !request.body().isFullyRead()) {
            Responses.reset(client, ErrorCode.NO_ERROR);
        }
        request.end();
    }
}
