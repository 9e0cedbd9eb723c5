package linenring.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import linenring.log.Log;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Hands connections that begin with HTTP/2's preface (RFC 9113, 3.4) on to the HTTP/2 factory. HTTP/1.1, its obsolete
 * upgrade to h2c included (RFC 9113, 3.1), is answered that this port speaks HTTP/2 alone; whatever else comes, or
 * nothing in time, is closed.
 */
final class ConnectionAcceptor extends AbstractConnectionFactory implements Connection.Listener {
    /** As at the controller's own address: a client says at once what it speaks. */
    private static final long PREFACE_TIMEOUT_MS = 1000;

    private static final int PREFACE_BUFFER_BYTES = 4096; // whatever comes with the preface is handed on with it
    private static final String BODY_TEXT = "This port speaks HTTP/2 with prior knowledge alone.\n";
    private static final byte[] HTTP1_ANSWER =
            ("HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Type: text/plain\r\n" + "Content-Length: "
                            + BODY_TEXT.length() + "\r\nConnection: close\r\n\r\n" + BODY_TEXT)
                    .getBytes(StandardCharsets.US_ASCII);

    private final ConnectionFactory http2;
    private final int maxConnections;
    private final Log log;
    private final Set<PendingConnection> pending = new LinkedHashSet<>(); // oldest first; guarded by this
    private int openConnections; // guarded by this

    /** The connector calls it as the listener of its connections. */
    ConnectionAcceptor(ConnectionFactory http2, int maxConnections, Log log) {
        super("preface");
        this.http2 = http2;
        this.maxConnections = maxConnections;
        this.log = log;
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        long idleTimeoutMs = endPoint.getIdleTimeout();
        endPoint.setIdleTimeout(PREFACE_TIMEOUT_MS);
        return configure(new PendingConnection(connector, endPoint, idleTimeoutMs), connector, endPoint);
    }

    @Override
    public synchronized void onOpened(Connection connection) {
        openConnections++;
        if (connection instanceof PendingConnection opened) {
            pending.add(opened);
        }
    }

    @Override
    public synchronized void onClosed(Connection connection) {
        openConnections--;
        if (connection instanceof PendingConnection closed) {
            pending.remove(closed);
        }
    }

    /**
     * The connection to close where one too many is open, or null: the oldest that has sent no preface yet.
     *
     * <p>It guards against connections that take all places and send nothing. To stop accepting instead would keep
     * everybody out while the silent ones are waited for.
     */
    private synchronized PendingConnection connectionToClose() {
        return openConnections <= maxConnections ? null : pending.iterator().next();
    }

    /** A connection that has not sent the preface yet. */
    private final class PendingConnection extends AbstractConnection {
        private final Connector connector;
        private final long idleTimeoutMs; // from the preface on
        private final ByteBuffer received = BufferUtil.allocate(PREFACE_BUFFER_BYTES);

        PendingConnection(Connector connector, EndPoint endPoint, long idleTimeoutMs) {
            super(endPoint, connector.getExecutor());
            this.connector = connector;
            this.idleTimeoutMs = idleTimeoutMs;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            PendingConnection closed = connectionToClose();
            if (closed != null) {
                EndPoint endPoint = closed.getEndPoint();
                log.info(
                        Http2Gateway.CLIENT_LOG_SUBJECT,
                        endPoint.getRemoteSocketAddress() + " makes room, " + maxConnections
                                + " connections are open: closed");
                endPoint.close();
            }
            if (!equals(closed)) {
                fillInterested();
            }
        }

        @Override
        public void onFillable() {
            try {
                if (getEndPoint().fill(received) < 0) {
                    getEndPoint().close();
                } else {
                    checkPreface();
                }
            } catch (IOException | RuntimeException failure) {
                getEndPoint().close(failure);
            }
        }

        private void checkPreface() throws IOException {
            switch (ClientProtocol.of(received)) {
                case HTTP2 -> {
                    getEndPoint().setIdleTimeout(idleTimeoutMs);
                    Connection next = http2.newConnection(connector, getEndPoint());
                    ((Connection.UpgradeTo) next).onUpgradeTo(received);
                    getEndPoint().upgrade(next);
                }
                case INCOMPLETE_PREFACE -> fillInterested();
                case HTTP1 -> {
                    logRefusal("speaks HTTP/1");
                    answerHttp1();
                }
                case HTTP1_UPGRADE -> {
                    logRefusal("asks for the obsolete upgrade to h2c");
                    answerHttp1();
                }
                case TLS -> {
                    logRefusal("speaks TLS");
                    getEndPoint().close();
                }
                case UNKNOWN -> {
                    logRefusal("does not begin with HTTP/2's preface");
                    getEndPoint().close();
                }
            }
        }

        private void logRefusal(String finding) {
            log.info(
                    Http2Gateway.CLIENT_LOG_SUBJECT,
                    getEndPoint().getRemoteSocketAddress() + " " + finding + ": refused");
        }

        private void answerHttp1() {
            Callback callback = Callback.from(
                    getEndPoint()::shutdownOutput, failure -> getEndPoint().close());
            getEndPoint().write(callback, ByteBuffer.wrap(HTTP1_ANSWER));
        }

        @Override
        protected void onFillInterestedFailed(Throwable cause) {
            getEndPoint().close(); // nothing came in time
        }
    }
}
