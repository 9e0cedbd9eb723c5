package linenring.gateway;

import linenring.log.Log;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.api.server.ServerSessionListener;
import org.eclipse.jetty.http2.frames.GoAwayFrame;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.PingFrame;
import org.eclipse.jetty.http2.frames.SettingsFrame;
import org.eclipse.jetty.util.Callback;

/** Handles the events of all clients' HTTP/2 sessions. Jetty delivers the events of one session one at a time. */
final class ClientSessionListener implements ServerSessionListener {
    private final GracefulShutdown shutdown;
    private final RequestDispatcher dispatcher;
    private final Log log;

    ClientSessionListener(GracefulShutdown shutdown, RequestDispatcher dispatcher, Log log) {
        this.shutdown = shutdown;
        this.dispatcher = dispatcher;
        this.log = log;
    }

    @Override
    public void onAccept(Session session) {
        shutdown.sessionOpened(session);
    }

    @Override
    public void onSettings(Session session, SettingsFrame frame) {
        shutdown.settingsReceived(session);
    }

    @Override
    public Stream.Listener onNewStream(Stream stream, HeadersFrame frame) {
        if (!shutdown.acceptStream(stream.getSession(), stream.getId())) {
            Streams.reset(
                    stream, ErrorCode.REFUSED_STREAM_ERROR); // tells the client that a retry is safe (RFC 9113, 8.7)
            return null;
        }
        stream.setIdleTimeout(GatewayTransport.UNLIMITED); // deadlines of attempts and the stall timeout apply instead
        return dispatcher.dispatch(stream, frame);
    }

    @Override
    public void onClose(Session session, GoAwayFrame frame, Callback callback) {
        shutdown.sessionClosed(session);
        callback.succeeded();
    }

    @Override
    public void onFailure(Session session, Throwable failure, Callback callback) {
        if (failure.getMessage() != null) { // a failure without a message means that the client closed its connection
            log.info(
                    Http2Gateway.CLIENT_LOG_SUBJECT,
                    "HTTP/2 session of " + session.getRemoteSocketAddress() + " has failed: " + failure.getMessage());
        }
        shutdown.sessionClosed(session);
        callback.succeeded();
    }

    @Override
    public void onPing(Session session, PingFrame frame) {
        if (frame.isReply()) {
            shutdown.pingAnswered(session);
        }
    }

    @Override
    public boolean onIdleTimeout(Session session) {
        return shutdown.isIdle(session); // sessions with active streams are not closed as idle
    }
}
