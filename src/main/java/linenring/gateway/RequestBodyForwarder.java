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
 * Sends a request's body to the host of one attempt: what earlier attempts have read, then what the client sends, then
 * the trailers (RFC 9113, 8.1). One write is under way at a time, so that a slow host slows its client and nothing is
 * buffered in between. Used by the request's serialized tasks alone.
 */
final class RequestBodyForwarder {
    /** As HTTP/2's least frame size (RFC 9113, 4.2), so that others get their turn between two writes. */
    private static final int REPLAY_CHUNK_BYTES = 16 << 10;

    private final ProxiedRequest request;
    private final RequestBody body;
    private final BooleanSupplier stopped;
    private Stream hostStream; // null until it was opened
    private byte[] replay = {};
    private int replayedBytes;
    private boolean writing;
    private boolean dataDemanded;
    private boolean endSent; // handed to Jetty

    /** {@code stopped}: whether the attempt wants nothing sent any more. */
    RequestBodyForwarder(ProxiedRequest request, BooleanSupplier stopped) {
        this.request = request;
        body = request.body();
        this.stopped = stopped;
    }

    /** Takes what earlier attempts have read. */
    void prepareReplay() {
        replay = body.retainedBytes();
    }

    /** The headers are about to be sent; true if nothing follows them, and they end the stream. */
    boolean startWithHeaders() {
        endSent = body.isRetainedToItsEnd() && replay.length == 0 && !body.hasTrailers();
        return endSent;
    }

    void setHostStream(Stream stream) {
        hostStream = stream;
    }

    boolean isEndSent() {
        return endSent;
    }

    void dataAvailable() {
        dataDemanded = false;
        pump();
    }

    /** Sends the next piece, if there is one and none is under way. */
    void pump() {
        if (stopped.getAsBoolean() || writing || hostStream == null || hostStream.isReset()) {
            return;
        }
        if (replayedBytes < replay.length) {
            sendReplayChunk();
        } else if (body.isFullyRead()) {
            if (body.hasTrailers()) {
                sendTrailers();
            }
        } else if (!dataDemanded) {
            sendFromClient();
        }
    }

    private void sendReplayChunk() {
        int length = Math.min(REPLAY_CHUNK_BYTES, replay.length - replayedBytes);
        ByteBuffer chunk = ByteBuffer.wrap(replay, replayedBytes, length);
        replayedBytes += length;
        boolean last = replayedBytes == replay.length && body.isFullyRead() && !body.hasTrailers();
        write(new DataFrame(hostStream.getId(), chunk, last), () -> {});
    }

    private void sendTrailers() {
        writing = true; // nothing follows
        endSent = true;
        MetaData trailers = new MetaData(HttpVersion.HTTP_2, body.trailers());
        hostStream.headers(new HeadersFrame(hostStream.getId(), trailers, null, true), Callback.NOOP);
    }

    private void sendFromClient() {
        Stream.Data data = body.read();
        if (data == null) {
            dataDemanded = true;
            return;
        }
        ByteBuffer bytes = data.frame().getByteBuffer();
        if (body.isFullyRead() && body.hasTrailers() && !bytes.hasRemaining()) {
            data.release();
            pump();
        } else {
            boolean last = body.isFullyRead() && !body.hasTrailers();
            write(new DataFrame(hostStream.getId(), bytes, last), data::release);
        }
    }

    private void write(DataFrame frame, Runnable release) {
        writing = true;
        endSent |= frame.isEndStream();
        hostStream.data(
                frame,
                Callback.from(
                        () -> {
                            release.run();
                            request.execute(() -> written(frame));
                        },
                        failure -> { // the stream's end is reported elsewhere
                            release.run();
                            request.execute(() -> writing = false);
                        }));
    }

    private void written(DataFrame frame) {
        writing = false;
        if (!frame.isEndStream()) {
            pump();
        }
    }
}
