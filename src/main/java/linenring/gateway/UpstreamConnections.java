package linenring.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import linenring.routing.ConnectionPool;
import linenring.routing.HostRegistry;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.frames.GoAwayFrame;
import org.eclipse.jetty.http2.frames.SettingsFrame;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;

/** The connections to one host: does what its {@link Pool} decides. */
final class UpstreamConnections {
    /** Who wants a stream; called once, by any thread. */
    interface Wants {
        void granted(Connection on);

        void turnedAway();
    }

    /** One connection; what the host has said about it. */
    final class Connection implements Session.Listener, Promise<Session> {
        private volatile Session session;
        private volatile int lastProcessed = Integer.MAX_VALUE; // as its GOAWAY says
        private boolean settled, failed; // opened or failed was told; guarded by the link

        Session session() {
            return session;
        }

        /** Whether the host has said that it did not process this stream of ours. */
        boolean isNotProcessed(int stream) {
            return stream > lastProcessed;
        }

        void done() {
            follow(pool(p -> p.streamClosed(this, clock.getAsDouble())));
        }

        @Override
        public void succeeded(Session result) {
            session = result; // its SETTINGS say whether it speaks HTTP/2
            closeIfFailed();
        }

        /** A dial that was given up may come through all the same, before or after that was told: nobody knows of it. */
        private boolean closeIfFailed() {
            Session open = session;
            boolean given;
            synchronized (UpstreamConnections.this) {
                given = failed;
            }
            if (given && open != null) {
                open.close(
                        ErrorCode.CANCEL_STREAM_ERROR.code,
                        "no settings",
                        Callback.from(((HTTP2Session) open).getEndPoint()::close));
            }
            return given;
        }

        @Override
        public void failed(Throwable x) {
            dialFailed();
        }

        private void dialFailed() {
            synchronized (UpstreamConnections.this) {
                if (settled) {
                    return;
                }
                settled = failed = true;
            }
            follow(pool(p -> p.dialFailed(clock.getAsDouble())));
            closeIfFailed();
        }

        @Override
        public void onSettings(Session from, SettingsFrame frame) {
            session = from;
            if (closeIfFailed()) {
                return;
            }
            Map<Integer, Integer> told = frame.getSettings();
            int streams = Math.min(streamsMost, told.getOrDefault(SettingsFrame.MAX_CONCURRENT_STREAMS, streamsMost));
            boolean first;
            synchronized (UpstreamConnections.this) {
                first = !settled;
                settled = true;
            }
            if (first) {
                follow(pool(p -> p.connectionOpened(this, streams, clock.getAsDouble())));
            } else if (told.containsKey(SettingsFrame.MAX_CONCURRENT_STREAMS)) {
                follow(pool(p -> p.maxStreamsChanged(this, streams, clock.getAsDouble())));
            }
        }

        @Override
        public void onGoAway(Session from, GoAwayFrame frame) {
            lastProcessed = frame.getLastStreamId();
            follow(pool(p -> p.connectionGoingAway(this, clock.getAsDouble())));
        }

        @Override
        public void onClose(Session from, GoAwayFrame frame, Callback callback) {
            ended();
            callback.succeeded();
        }

        @Override
        public void onFailure(Session from, Throwable failure, Callback callback) {
            ended();
            callback.succeeded();
        }

        @Override
        public boolean onIdleTimeout(Session from) {
            return false; // the pool says when an idle one is closed
        }

        /** Ends it; nothing runs on it any more, so that it need not wait for the host to close its side. */
        void close() {
            session.close(
                    ErrorCode.NO_ERROR.code, "idle", Callback.from(((HTTP2Session) session).getEndPoint()::close));
        }

        private void ended() {
            dialFailed();
            follow(pool(p -> p.connectionLost(this, clock.getAsDouble())));
        }
    }

    private interface Ask {
        ConnectionPool.Actions<Connection, Wants> of(ConnectionPool<Connection, Wants> pool);
    }

    private final HTTP2Client client;
    private final HostRegistry.Host host;
    private final int streamsMost;
    private final long dialMs;
    private final Scheduler scheduler;
    private final DoubleSupplier clock;
    private final ConnectionPool<Connection, Wants> pool;

    UpstreamConnections(
            HTTP2Client client,
            HostRegistry.Host host,
            ConnectionPool.Limits bounds,
            double dialMs,
            Scheduler scheduler,
            DoubleSupplier clock) {
        this.client = client;
        this.host = host;
        streamsMost = bounds.maxStreams();
        this.dialMs = (long) Math.ceil(dialMs);
        this.scheduler = scheduler;
        this.clock = clock;
        pool = new ConnectionPool<>(bounds);
    }

    String address() {
        return host.address();
    }

    private synchronized ConnectionPool.Actions<Connection, Wants> pool(Ask ask) {
        return ask.of(pool);
    }

    void want(Wants who) {
        ConnectionPool.StreamGrant<Connection> grant;
        synchronized (this) {
            grant = pool.requestStream(who, clock.getAsDouble());
        }
        if (grant instanceof ConnectionPool.StreamGrant.Granted<Connection> take) {
            who.granted(take.connection());
        } else if (grant instanceof ConnectionPool.StreamGrant.Rejected<Connection>) {
            who.turnedAway();
        } else if (((ConnectionPool.StreamGrant.Queued<Connection>) grant).openConnection()) {
            dial();
        }
    }

    /** False if it was granted or turned away already. */
    boolean gone(Wants who) {
        synchronized (this) {
            return pool.cancel(who);
        }
    }

    void retire(boolean out) {
        follow(pool(p -> p.setRetired(out, clock.getAsDouble())));
    }

    void sweep() {
        follow(pool(p -> p.closeIdle(clock.getAsDouble())));
    }

    private void follow(ConnectionPool.Actions<Connection, Wants> f) {
        f.connectionsToClose().forEach(Connection::close);
        f.assigned().forEach(s -> s.waiter().granted(s.connection()));
        f.rejected().forEach(Wants::turnedAway);
        if (f.openConnection()) {
            dial();
        }
    }

    private void dial() {
        Connection connection = new Connection();
        InetSocketAddress at = address(host.address());
        if (at == null) {
            connection.dialFailed();
            return;
        }
        scheduler.schedule(connection::dialFailed, dialMs, TimeUnit.MILLISECONDS);
        client.connect(at, connection, connection);
    }

    /** Where the list says that the host is: figures, nothing is looked up; null if it is no address. */
    static InetSocketAddress address(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            return null;
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            return null;
        }
    }
}
