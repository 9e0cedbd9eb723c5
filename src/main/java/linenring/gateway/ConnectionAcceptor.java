package linenring.gateway;

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
 * Lets in who begins with HTTP/2's preface (RFC 9113, 3.4). HTTP/1.1, its obsolete upgrade to h2c included, is answered
 * that this port speaks HTTP/2 alone; whatever else comes, or nothing in time, is closed.
 */
final class ConnectionAcceptor extends AbstractConnectionFactory implements Connection.Listener {
    private static final byte[] PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final long SILENT_MS =
            1000; // as at the steward's own address: who dials says at once what it speaks
    private static final String WORDS = "This port speaks HTTP/2 with prior knowledge alone.\n";
    private static final byte[] REFUSAL = ("HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Type: text/plain\r\n"
                    + "Content-Length: " + WORDS.length() + "\r\nConnection: close\r\n\r\n" + WORDS)
            .getBytes(StandardCharsets.US_ASCII);
    private static final Set<String> METHODS = Set.of("GET ", "POST", "PUT ", "HEAD", "DELE", "OPTI", "PATC", "CONN");

    private final ConnectionFactory http2;
    private final int most;
    private final Log log;
    private final Set<Knock> knocking = new LinkedHashSet<>(); // oldest first
    private int open;

    /** Lets in so many connections at most; it is to be told of them as their listener. */
    ConnectionAcceptor(ConnectionFactory http2, int most, Log log) {
        super("door");
        this.http2 = http2;
        this.most = most;
        this.log = log;
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        long idle = endPoint.getIdleTimeout();
        endPoint.setIdleTimeout(SILENT_MS);
        return configure(new Knock(connector, endPoint, idle), connector, endPoint);
    }

    @Override
    public synchronized void onOpened(Connection connection) {
        open++;
        if (connection instanceof Knock k) {
            knocking.add(k);
        }
    }

    @Override
    public synchronized void onClosed(Connection connection) {
        open--;
        knocking.remove(connection);
    }

    /** Who goes where one too many is there: the oldest that has not said what it speaks, or null. */
    private synchronized Knock tooMany() {
        return open <= most ? null : knocking.iterator().next();
    }

    private final class Knock extends AbstractConnection {
        private final Connector connector;
        private final long idle;
        private final ByteBuffer begun = BufferUtil.allocate(4096);

        Knock(Connector connector, EndPoint endPoint, long idle) {
            super(endPoint, connector.getExecutor());
            this.connector = connector;
            this.idle = idle;
        }

        @Override
        public void onOpen() {
            super.onOpen();
            Knock goes = tooMany();
            if (goes
                    != null) { // closing all accepting instead would let in nobody while the silent ones are waited for
                log.info(
                        "client",
                        goes.getEndPoint().getRemoteSocketAddress() + " makes room, " + most
                                + " connections are open: closed");
                goes.getEndPoint().close();
            }
            if (goes != this) {
                fillInterested();
            }
        }

        @Override
        public void onFillable() {
            try {
                int got = getEndPoint().fill(begun);
                if (got < 0) {
                    getEndPoint().close();
                    return;
                }
                int fits = 0, have = begun.remaining();
                while (fits < Math.min(have, PREFACE.length) && begun.get(begun.position() + fits) == PREFACE[fits]) {
                    fits++;
                }
                if (fits == PREFACE.length) {
                    getEndPoint().setIdleTimeout(idle);
                    Connection next = http2.newConnection(connector, getEndPoint());
                    ((Connection.UpgradeTo) next).onUpgradeTo(begun);
                    getEndPoint().upgrade(next);
                } else if (fits == have) {
                    fillInterested();
                } else {
                    refuse(have);
                }
            } catch (java.io.IOException | RuntimeException e) {
                getEndPoint().close(e);
            }
        }

        private void refuse(int have) {
            String start = StandardCharsets.ISO_8859_1.decode(begun.slice()).toString();
            boolean http1 = have >= 4 && METHODS.contains(start.substring(0, 4));
            String what = http1
                    ? start.toLowerCase(java.util.Locale.ROOT).contains("upgrade: h2c")
                            ? "asks for the obsolete upgrade to h2c"
                            : "speaks HTTP/1"
                    : start.charAt(0) == 0x16 ? "speaks TLS" : "does not begin with HTTP/2's preface";
            log.info("client", getEndPoint().getRemoteSocketAddress() + " " + what + ": refused");
            if (http1) {
                getEndPoint()
                        .write(
                                Callback.from(
                                        getEndPoint()::shutdownOutput,
                                        x -> getEndPoint().close()),
                                ByteBuffer.wrap(REFUSAL));
            } else {
                getEndPoint().close();
            }
        }

        @Override
        protected void onFillInterestedFailed(Throwable cause) {
            getEndPoint().close(); // nothing came in time
        }
    }
}
