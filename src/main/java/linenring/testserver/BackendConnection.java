package linenring.testserver;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;

/** One connection of a test backend. One thread reads requests; delayed or large responses are sent by other threads. */
final class BackendConnection {
    private static final int MAX_DATA_BYTES = 16 << 10;

    /** Largest response body that the reading thread sends itself; small enough to fit into any send window. */
    private static final int MAX_INLINE_BODY_BYTES = 1024;

    private static final long TRICKLE_INTERVAL_MS = 20;

    /** A request without a complete response. */
    private record OpenRequest(String path, Reaction reaction) {}

    private final TestBackend backend;
    private final BackendStatistics statistics;
    private final Socket socket;
    private final Map<Integer, OpenRequest> openRequests = new ConcurrentHashMap<>(); // keyed by stream identifier
    private final SendWindows windows = new SendWindows();
    private FrameConnection frames; // set before the first frame is read
    private boolean isGoingAway; // accessed only by the reading thread

    BackendConnection(TestBackend backend, Socket socket) {
        this.backend = backend;
        this.socket = socket;
        statistics = backend.statistics();
    }

    void close() {
        try {
            socket.close();
        } catch (IOException failure) {
            // ignored: the socket counts as closed even if close() fails
        }
        windows.connectionEnded();
    }

    void run() {
        try (socket) {
            frames = new FrameConnection(socket);
            frames.skipPreface();
            backend.awaitSettingsAllowed();
            frames.sendSettings(backend.settings());
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                handleFrame(frame);
            }
        } catch (IOException | RuntimeException | InterruptedException connectionClosed) {
            // the connection was closed, by either side
        } finally {
            backend.connectionEnded(this);
            close();
        }
    }

    private void handleFrame(Frame frame) throws IOException {
        switch (frame.type()) {
            case Frame.SETTINGS -> {
                if (frame.requiresAcknowledgement()) {
                    handleSettings(frame);
                    frames.acknowledgeSettings();
                }
            }
            case Frame.PING -> frames.acknowledge(frame);
            case Frame.WINDOW_UPDATE -> windows.increaseWindow(frame.stream(), frame.readUint31(0));
            case Frame.RST_STREAM -> closeStream(frame.stream());
            case Frame.HEADERS -> handleHeaders(frame);
            case Frame.DATA -> handleData(frame);
            default -> {}
        }
    }

    private void handleSettings(Frame settings) {
        settings.forEachSetting((id, value) -> {
            if (id == Frame.INITIAL_WINDOW_SIZE) {
                windows.setInitialWindowBytes(value);
            }
        });
    }

    private void closeStream(int stream) {
        openRequests.remove(stream);
        windows.closeStream(stream);
    }

    private void handleHeaders(Frame headers) throws IOException {
        MetaData metaData = frames.decode(headers);
        if (!(metaData instanceof MetaData.Request request)) {
            statistics.trailersReceived(metaData.getHttpFields());
            answerIfComplete(headers);
            return;
        }
        String path = request.getHttpURI().getPath();
        Reaction reaction = backend.reactionTo(path);
        boolean isExecuted = reaction.executesRequest() && !isGoingAway;
        statistics.requestReceived(isExecuted ? request.getHttpFields().get("x-mark") : null);
        if (!isGoingAway) { // the GOAWAY frame promised that later requests are not processed
            react(headers, new OpenRequest(path, reaction));
        }
    }

    private void react(Frame headers, OpenRequest request) throws IOException {
        int stream = headers.stream();
        switch (request.reaction().behaviour()) {
            case REFUSE -> frames.sendReset(stream, ErrorCode.REFUSED_STREAM_ERROR.code);
            case GO_AWAY_BELOW -> {
                isGoingAway = true;
                frames.sendGoAway(Math.max(0, stream - 2), 0);
            }
            case CLOSE -> close();
            default -> {
                windows.openStream(stream);
                openRequests.put(stream, request);
                if (request.reaction().executesRequest()) {
                    statistics.requestExecuted(request.path());
                }
                answerIfComplete(headers);
            }
        }
    }

    private void handleData(Frame data) throws IOException {
        int length = data.payload().length;
        OpenRequest request = openRequests.get(data.stream());
        statistics.bodyReceived(request == null ? "" : request.path(), length);
        boolean sendsWindowUpdates = request == null || request.reaction().behaviour() != Behaviour.NO_WINDOW;
        if (length > 0 && sendsWindowUpdates) {
            frames.sendWindowUpdate(0, length);
            if (request != null && !data.hasFlag(Frame.END_STREAM)) {
                frames.sendWindowUpdate(data.stream(), length);
            }
        }
        answerIfComplete(data);
    }

    /** Sends or schedules the response, if the behaviour has one, when a frame ends the request. */
    private void answerIfComplete(Frame frame) {
        OpenRequest request = openRequests.get(frame.stream());
        if (!frame.hasFlag(Frame.END_STREAM) || request == null) {
            return;
        }
        Reaction reaction = request.reaction();
        if (!reaction.executesRequest() || reaction.behaviour() == Behaviour.HANG) {
            return;
        }
        statistics.answerStarted();
        if (reaction.delayMs() > 0) {
            backend.executeAfter(reaction.delayMs(), () -> answer(frame.stream(), reaction));
        } else if (isAnsweredInline(reaction)) {
            answer(frame.stream(), reaction);
        } else {
            backend.execute(() -> answer(frame.stream(), reaction));
        }
    }

    private static boolean isAnsweredInline(Reaction reaction) {
        return reaction.behaviour() == Behaviour.ERROR
                || (reaction.behaviour() == Behaviour.ANSWER && reaction.bodyBytes() <= MAX_INLINE_BODY_BYTES);
    }

    private void answer(int stream, Reaction reaction) {
        try {
            if (openRequests.containsKey(stream)) {
                sendAnswer(stream, reaction);
            }
        } catch (IOException | RuntimeException connectionClosed) {
            // the connection was closed
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            closeStream(stream);
            statistics.answerEnded();
        }
    }

    private void sendAnswer(int stream, Reaction reaction) throws IOException, InterruptedException {
        int bytes = reaction.bodyBytes();
        switch (reaction.behaviour()) {
            case RESET -> frames.sendReset(stream, ErrorCode.INTERNAL_ERROR.code);
            case DIE -> close();
            case RESET_AFTER_HEAD, RESET_IN_BODY, DIE_IN_BODY, HANG_IN_BODY -> sendPartialAnswer(stream, reaction);
            case TRICKLE -> {
                sendHead(stream, HttpStatus.OK_200, backendFields(), false);
                sendBody(stream, bytes, true, 1, TRICKLE_INTERVAL_MS);
            }
            case EARLY_HINTS_AND_TRAILERS -> {
                sendEarlyHints(stream);
                sendHead(stream, HttpStatus.OK_200, backendFields(), false);
                sendBody(stream, bytes, false);
                HttpFields trailers = HttpFields.build().put("x-sum", "7");
                frames.sendHeaders(stream, new MetaData(HttpVersion.HTTP_2, trailers), true);
            }
            case HANG_AFTER_EARLY_HINTS -> {
                sendEarlyHints(stream);
                sendEarlyHints(stream);
            }
            case LIE_ABOUT_LENGTH -> {
                HttpFields fields = HttpFields.build(backendFields()).put("content-length", "" + (bytes + 1));
                sendHead(stream, HttpStatus.OK_200, fields, false);
                sendBody(stream, bytes, true);
            }
            default -> {
                HttpFields fields =
                        HttpFields.build(backendFields()).put("x-fill", "f".repeat(reaction.fillFieldBytes()));
                sendHead(stream, reaction.status(), fields, bytes == 0);
                sendBody(stream, bytes, true, reaction.maxFrameBytes(), 0);
            }
        }
    }

    /** Sends headers and, for most behaviours, half of the body, and then aborts or stalls the response. */
    private void sendPartialAnswer(int stream, Reaction reaction) throws IOException, InterruptedException {
        Behaviour behaviour = reaction.behaviour();
        sendHead(stream, HttpStatus.OK_200, backendFields(), false);
        if (behaviour != Behaviour.RESET_AFTER_HEAD) {
            sendBody(stream, reaction.bodyBytes() / 2, false);
        }
        if (behaviour == Behaviour.DIE_IN_BODY) {
            close();
        } else if (behaviour != Behaviour.HANG_IN_BODY) {
            frames.sendReset(stream, ErrorCode.INTERNAL_ERROR.code);
        }
    }

    private void sendEarlyHints(int stream) throws IOException {
        sendHead(stream, HttpStatus.EARLY_HINTS_103, HttpFields.build().put("link", "</a>"), false);
    }

    private HttpFields backendFields() {
        return HttpFields.build().put("x-node", backend.address());
    }

    private void sendHead(int stream, int status, HttpFields fields, boolean endsStream) throws IOException {
        frames.sendHeaders(stream, FrameConnection.responseHead(status, fields), endsStream);
    }

    private void sendBody(int stream, int bytes, boolean endsStream) throws IOException, InterruptedException {
        sendBody(stream, bytes, endsStream, MAX_DATA_BYTES, 0);
    }

    /** Sends a response body in DATA frames. An empty body sends no frame; a closed stream ends the transfer. */
    private void sendBody(int stream, int bytes, boolean endsStream, int maxFrameBytes, long pauseMs)
            throws IOException, InterruptedException {
        int sent = 0;
        while (sent < bytes) {
            int length = Math.min(maxFrameBytes, bytes - sent);
            if (!windows.reserve(stream, length, socket::isClosed)) {
                return;
            }
            sent += length;
            statistics.bodySent(length);
            int flags = endsStream && sent == bytes ? Frame.END_STREAM : 0;
            frames.sendFrame(Frame.DATA, flags, stream, new byte[length]);
            if (pauseMs > 0) {
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
        }
    }
}
