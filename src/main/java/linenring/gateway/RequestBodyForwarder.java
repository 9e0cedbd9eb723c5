package linenring.gateway;

import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.DataFrame;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.util.Callback;

/**
 * Sends a request's body to the host of one attempt: first the bytes that earlier attempts have read, then data from the
 * client, then the trailers (RFC 9113, 8.1). At most one write is in progress, so that a slow host slows down its client
 * and the gateway buffers nothing in between. Only the request's serialized tasks may call its methods.
 */
final class RequestBodyForwarder {
    /** HTTP/2's minimum for the maximum frame size (RFC 9113, 4.2); small chunks let other streams write in between. */
    private static final int REPLAY_CHUNK_BYTES = 16 << 10;

    private final ProxiedRequest request;
    private final RequestBody body;
    private final BooleanSupplier isStopped;
    private Stream hostStream; // null until the stream to the host is open
    private byte[] replayBytes = {};
    private int replayPosition;
    private boolean isWriting;
    private boolean endSent; // a frame with END_STREAM was handed to Jetty

    /** Creates a forwarder that sends nothing more once {@code isStopped} returns true. */
    RequestBodyForwarder(ProxiedRequest request, BooleanSupplier isStopped) {
        this.request = request;
        body = request.body();
        this.isStopped = isStopped;
    }

    /** Copies the bytes that earlier attempts have read. */
    void prepareReplay() {
        replayBytes = body.retainedBytes();
    }

    /** Returns whether the headers frame ends the stream, since neither a body nor trailers follow. */
    boolean startWithHeaders() {
        endSent = body.isFullyRetained() && replayBytes.length == 0 && !body.hasTrailers();
        return endSent;
    }

    void setHostStream(Stream stream) {
        hostStream = stream;
    }

    boolean isEndSent() {
        return endSent;
    }

    /** Sends the next part of the body, if one is available and no write is in progress. */
    void sendNext() {
        if (isStopped.getAsBoolean() || isWriting || hostStream == null || hostStream.isReset()) {
            return;
        }
        if (replayPosition < replayBytes.length) {
            sendReplayChunk();
        } else if (body.isFullyRead()) {
            if (body.hasTrailers()) {
                sendTrailers();
            }
        } else {
            sendFromClient();
        }
    }

    private void sendReplayChunk() {
        int length = Math.min(REPLAY_CHUNK_BYTES, replayBytes.length - replayPosition);
        ByteBuffer chunk = ByteBuffer.wrap(replayBytes, replayPosition, length);
        replayPosition += length;
        boolean isLast = replayPosition == replayBytes.length && body.isFullyRead() && !body.hasTrailers();
        write(new DataFrame(hostStream.getId(), chunk, isLast), () -> {});
    }

    private void sendTrailers() {
        MetaData trailers = new MetaData(HttpVersion.HTTP_2, body.trailers());
        if (!HeaderListSize.isAccepted(hostStream.getSession(), trailers)) {
            request.abortForTooLargeTrailers();
            return;
        }
        isWriting = true; // the flag stays set, since no frame may follow the trailers
        endSent = true;
        hostStream.headers(new HeadersFrame(hostStream.getId(), trailers, null, true), Callback.NOOP);
    }

    private void sendFromClient() {
        ReceiveBuffer.Chunk chunk = body.read();
        if (chunk == null) {
            request.stallDetector().bodyWaitStarted(System.nanoTime());
            return; // the body notifies the request when more data arrives
        }
        int length = chunk.bytes().remaining();
        if (chunk.isLast() && body.hasTrailers() && length == 0) {
            sendTrailers();
        } else {
            boolean isLast = chunk.isLast() && !body.hasTrailers();
            write(new DataFrame(hostStream.getId(), chunk.bytes(), isLast), () -> body.forwarded(length));
        }
    }

    private void write(DataFrame frame, Runnable release) {
        isWriting = true;
        endSent |= frame.isEndStream();
        hostStream.data(
                frame,
                Callback.from(
                        () -> {
                            release.run();
                            request.execute(() -> written(frame));
                        },
                        failure -> { // the attempt, as the stream's listener, handles the stream's end
                            release.run();
                            request.execute(() -> isWriting = false);
                        }));
    }

    private void written(DataFrame frame) {
        isWriting = false;
        if (!frame.isEndStream()) {
            sendNext();
        }
    }
}
