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

/** One connection of a test backend. One thread reads and reacts; answers that take time are sent by others. */
final class BackendConnection {
    private static final int INTERNAL_ERROR = 2;
    private static final int REFUSED_STREAM = 7;
    private static final int MAX_DATA_BYTES = 16 << 10;
    private static final int MAX_IMMEDIATE_BYTES = 1024; // small enough for any window
    private static final long TRICKLE_MS = 20;

    /** A request whose answer is not complete. */
    private record OpenRequest(String path, Reaction reaction) {}

    private final TestBackend backend;
    private final BackendStatistics statistics;
    private final Socket socket;
    private final Map<Integer, OpenRequest> openRequests = new ConcurrentHashMap<>(); // by stream
    private final SendWindows windows = new SendWindows();
    private FrameConnection frames; // set before the first frame is read
    private boolean goingAway; // touched by the reading thread alone

    BackendConnection(TestBackend backend, Socket socket) {
        this.backend = backend;
        this.socket = socket;
        statistics = backend.statistics();
    }

    void end() {
        try {
            socket.close();
        } catch (IOException failure) {
            // closed all the same
        }
        windows.connectionEnded();
    }

    void run() {
        try (socket) {
            frames = new FrameConnection(socket);
            frames.readPreface();
            backend.awaitMayGreet();
            frames.sendSettings(Frame.MAX_CONCURRENT_STREAMS, backend.maxStreams());
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                received(frame);
            }
        } catch (IOException | RuntimeException | InterruptedException ended) {
            // the connection's end, whichever side made it
        } finally {
            backend.connectionEnded(this);
            end();
        }
    }

    private void received(Frame frame) throws IOException {
        switch (frame.type()) {
            case Frame.SETTINGS -> {
                if (frame.wantsAck()) {
                    settingsReceived(frame);
                    frames.acknowledgeSettings();
                }
            }
            case Frame.PING -> frames.acknowledge(frame);
            case Frame.WINDOW_UPDATE -> windows.update(frame.stream(), frame.uint31(0));
            case Frame.RST_STREAM -> closeStream(frame.stream());
            case Frame.HEADERS -> headersReceived(frame);
            case Frame.DATA -> dataReceived(frame);
            default -> {}
        }
    }

    private void settingsReceived(Frame settings) {
        settings.forEachSetting((id, value) -> {
            if (id == Frame.INITIAL_WINDOW_SIZE) {
                windows.setInitialWindow(value);
            }
        });
    }

    private void closeStream(int stream) {
        openRequests.remove(stream);
        windows.close(stream);
    }

    private void headersReceived(Frame headers) throws IOException {
        MetaData decoded = frames.decode(headers);
        if (!(decoded instanceof MetaData.Request request)) {
            statistics.trailersReceived(decoded.getHttpFields());
            answerIfComplete(headers);
            return;
        }
        String path = request.getHttpURI().getPath();
        Reaction reaction = backend.reactionTo(path);
        boolean executes = reaction.executes() && !goingAway;
        statistics.requestReceived(executes ? request.getHttpFields().get("x-mark") : null);
        if (!goingAway) { // else its GOAWAY has announced that it does nothing
            react(headers, new OpenRequest(path, reaction));
        }
    }

    private void react(Frame headers, OpenRequest request) throws IOException {
        int stream = headers.stream();
        switch (request.reaction().behaviour()) {
            case REFUSE -> frames.sendReset(stream, REFUSED_STREAM);
            case GO_AWAY_BELOW -> {
                goingAway = true;
                frames.sendGoAway(Math.max(0, stream - 2), 0);
            }
            case CLOSE -> end();
            default -> {
                windows.open(stream);
                openRequests.put(stream, request);
                if (request.reaction().executes()) {
                    statistics.executed(request.path());
                }
                answerIfComplete(headers);
            }
        }
    }

    private void dataReceived(Frame data) throws IOException {
        int length = data.payload().length;
        OpenRequest request = openRequests.get(data.stream());
        statistics.bodyReceived(request == null ? "" : request.path(), length);
        boolean opensWindow = request == null || request.reaction().behaviour() != Behaviour.NO_WINDOW;
        if (length > 0 && opensWindow) {
            frames.sendWindowUpdate(0, length);
            if (request != null && !data.has(Frame.END_STREAM)) {
                frames.sendWindowUpdate(data.stream(), length);
            }
        }
        answerIfComplete(data);
    }

    /** The request is complete where this frame ends it. */
    private void answerIfComplete(Frame frame) {
        OpenRequest request = openRequests.get(frame.stream());
        if (!frame.has(Frame.END_STREAM) || request == null) {
            return;
        }
        Reaction reaction = request.reaction();
        if (!reaction.executes() || reaction.behaviour() == Behaviour.HANG) {
            return;
        }
        statistics.answerStarted();
        if (reaction.delayMs() > 0) {
            backend.executeAfter(reaction.delayMs(), () -> answer(frame.stream(), reaction));
        } else if (isImmediate(reaction)) {
            answer(frame.stream(), reaction);
        } else {
            backend.execute(() -> answer(frame.stream(), reaction));
        }
    }

    private static boolean isImmediate(Reaction reaction) {
        return reaction.behaviour() == Behaviour.ERROR
                || (reaction.behaviour() == Behaviour.ANSWER && reaction.bytes() <= MAX_IMMEDIATE_BYTES);
    }

    private void answer(int stream, Reaction reaction) {
        try {
            if (openRequests.containsKey(stream)) {
                sendAnswer(stream, reaction);
            }
        } catch (IOException | RuntimeException ended) {
            // the connection is gone
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            closeStream(stream);
            statistics.answerEnded();
        }
    }

    private void sendAnswer(int stream, Reaction reaction) throws IOException, InterruptedException {
        int bytes = reaction.bytes();
        switch (reaction.behaviour()) {
            case RESET -> frames.sendReset(stream, INTERNAL_ERROR);
            case DIE -> end();
            case RESET_AFTER_HEAD, RESET_IN_BODY, DIE_IN_BODY, HANG_IN_BODY -> sendPartialAnswer(stream, reaction);
            case TRICKLE -> {
                sendHead(stream, HttpStatus.OK_200, ownFields(), false);
                sendBody(stream, bytes, true, 1, TRICKLE_MS);
            }
            case EARLY_HINTS_AND_TRAILERS -> {
                HttpFields hint = HttpFields.build().put("link", "</a>");
                sendHead(stream, HttpStatus.EARLY_HINTS_103, hint, false);
                sendHead(stream, HttpStatus.OK_200, ownFields(), false);
                sendBody(stream, bytes, false);
                HttpFields trailers = HttpFields.build().put("x-sum", "7");
                frames.sendHeaders(stream, new MetaData(HttpVersion.HTTP_2, trailers), true);
            }
            case LIE_ABOUT_LENGTH -> {
                HttpFields fields = HttpFields.build(ownFields()).put("content-length", "" + (bytes + 1));
                sendHead(stream, HttpStatus.OK_200, fields, false);
                sendBody(stream, bytes, true);
            }
            default -> {
                sendHead(stream, reaction.status(), ownFields(), bytes == 0);
                sendBody(stream, bytes, true);
            }
        }
    }

    /** Headers, for most behaviours half of the body, and then no more. */
    private void sendPartialAnswer(int stream, Reaction reaction) throws IOException, InterruptedException {
        Behaviour behaviour = reaction.behaviour();
        sendHead(stream, HttpStatus.OK_200, ownFields(), false);
        if (behaviour != Behaviour.RESET_AFTER_HEAD) {
            sendBody(stream, reaction.bytes() / 2, false);
        }
        if (behaviour == Behaviour.DIE_IN_BODY) {
            end();
        } else if (behaviour != Behaviour.HANG_IN_BODY) {
            frames.sendReset(stream, INTERNAL_ERROR);
        }
    }

    private HttpFields ownFields() {
        return HttpFields.build().put("x-node", backend.address());
    }

    private void sendHead(int stream, int status, HttpFields fields, boolean last) throws IOException {
        frames.sendHeaders(stream, FrameConnection.response(status, fields), last);
    }

    private void sendBody(int stream, int bytes, boolean last) throws IOException, InterruptedException {
        sendBody(stream, bytes, last, MAX_DATA_BYTES, 0);
    }

    /** Sends nothing where there are no bytes; stops where the stream ends. */
    private void sendBody(int stream, int bytes, boolean last, int maxFrameBytes, long pauseMs)
            throws IOException, InterruptedException {
        int sent = 0;
        while (sent < bytes) {
            int length = Math.min(maxFrameBytes, bytes - sent);
            if (!windows.take(stream, length, socket::isClosed)) {
                return;
            }
            sent += length;
            statistics.bodySent(length);
            int flags = last && sent == bytes ? Frame.END_STREAM : 0;
            frames.sendFrame(Frame.DATA, flags, stream, new byte[length]);
            if (pauseMs > 0) {
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
        }
    }
}
