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
 * Passes connections that begin with the HTTP/2 connection preface (RFC 9113, 3.4) to the HTTP/2 connection factory. An
 * HTTP/1.1 request, including one for the obsolete upgrade to h2c (RFC 9113, 3.1), is answered with status 505. A
 * connection with other first bytes, or without a preface in time, is closed.
 */
final class PrefaceConnectionFactory extends AbstractConnectionFactory implements Connection.Listener {
    /** Time in which a client has to send the preface, as at the controller's address; clients send it right after connecting. */
    private static final long PREFACE_TIMEOUT_MS = 1000;

    private static final int PREFACE_BUFFER_BYTES = 4096; // has space for frames that arrive together with the preface
    private static final String HTTP1_RESPONSE_BODY = "This port speaks HTTP/2 with prior knowledge alone.\n";
    private static final byte[] HTTP1_RESPONSE =
            ("HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Type: text/plain\r\n" + "Content-Length: "
                            + HTTP1_RESPONSE_BODY.length() + "\r\nConnection: close\r\n\r\n" + HTTP1_RESPONSE_BODY)
                    .getBytes(StandardCharsets.US_ASCII);

    private final ConnectionFactory http2;
    private final int maxConnections;
    private final Log log;
    private final Set<PendingConnection> pending = new LinkedHashSet<>(); // oldest first; guarded by this
    private int openConnections; // guarded by this

    /** Creates the factory, which also has to be registered as a connection listener of the connector. */
    PrefaceConnectionFactory(ConnectionFactory http2, int maxConnections, Log log) {
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
     * Returns the oldest connection that has sent no preface yet, if the connection limit is exceeded, or else null.
     *
     * <p>Closing this connection guards against silent connections that occupy the complete limit. Not accepting new
     * connections instead would lock out all clients until the silent connections have timed out.
     */
    private synchronized PendingConnection connectionToClose() {
        return openConnections <= maxConnections ? null : pending.iterator().next();
    }

    /** A connection whose client has not sent the complete preface yet. */
    private final class PendingConnection extends AbstractConnection {
        private final Connector connector;
        private final long idleTimeoutMs; // idle timeout that applies after the preface
        private final ByteBuffer received = BufferUtil.allocate(PREFACE_BUFFER_BYTES);

        PendingConnection(Connector connector, EndPoint endPoint, long idleTimeoutMs) {
            super(endPoint, connector.getExecutor());
            this.connector = connector;
            this.idleTimeoutMs = idleTimeoutMs;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            PendingConnection evicted = connectionToClose();
            if (evicted != null) {
                EndPoint endPoint = evicted.getEndPoint();
                log.info(
                        Http2Gateway.CLIENT_LOG_SUBJECT,
                        "closing the connection of " + endPoint.getRemoteSocketAddress()
                                + " because it has sent no preface and the limit of " + maxConnections
                                + " connections is exceeded");
                endPoint.close();
            }
            if (!equals(evicted)) {
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
            switch (ClientProtocol.detect(received)) {
                case HTTP2 -> {
                    getEndPoint().setIdleTimeout(idleTimeoutMs);
                    Connection next = http2.newConnection(connector, getEndPoint());
                    ((Connection.UpgradeTo) next).onUpgradeTo(received);
                    getEndPoint().upgrade(next);
                }
                case INCOMPLETE_PREFACE -> fillInterested();
                case HTTP1 -> {
                    logRejection("it sends an HTTP/1 request");
                    sendHttp1Response();
                }
                case HTTP1_UPGRADE -> {
                    logRejection("it requests the obsolete upgrade to h2c");
                    sendHttp1Response();
                }
                case TLS -> {
                    logRejection("it sends a TLS handshake");
                    getEndPoint().close();
                }
                case UNKNOWN -> {
                    logRejection("it does not begin with the HTTP/2 connection preface");
                    getEndPoint().close();
                }
            }
        }

        private void logRejection(String reason) {
            log.info(
                    Http2Gateway.CLIENT_LOG_SUBJECT,
                    "connection of " + getEndPoint().getRemoteSocketAddress() + " is rejected because " + reason);
        }

        private void sendHttp1Response() {
            Callback callback = Callback.from(
                    getEndPoint()::shutdownOutput, failure -> getEndPoint().close());
            getEndPoint().write(callback, ByteBuffer.wrap(HTTP1_RESPONSE));
        }

        @Override
        protected void onFillInterestedFailed(Throwable cause) {
            getEndPoint().close(); // the preface did not arrive in time
        }
    }
}
