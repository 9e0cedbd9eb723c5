package linenring.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
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

/**
 * The connections to one host: does what its {@link ConnectionPool} decides. The pool is called under this object's lock;
 * what it decides is done without the lock, since Jetty and the waiters call back.
 */
final class UpstreamConnections {
    /** Who wants a stream. One of the two is called, once, by any thread. */
    interface StreamWaiter {
        /** A stream of this connection may be opened; {@link Connection#streamClosed} is called once it is over. */
        void granted(Connection connection);

        /** There is no connection, or none in time. */
        void rejected();
    }

    /** One connection, and what the host has announced on it. */
    final class Connection implements Session.Listener, Promise<Session> {
        private volatile Session session;
        private volatile int lastProcessedStream = Integer.MAX_VALUE; // as its GOAWAY says (RFC 9113, 6.8)
        private boolean dialEnded; // guarded by the enclosing object
        private boolean dialFailed; // guarded by the enclosing object

        Session session() {
            return session;
        }

        /** Whether the host has announced that it did not process this stream (RFC 9113, 6.8). */
        boolean isNotProcessed(int streamId) {
            return streamId > lastProcessedStream;
        }

        /** A stream that was granted is over. */
        void streamClosed() {
            decide(state -> state.streamClosed(this, clock.getAsDouble()));
        }

        /** The host speaks HTTP/2 for certain only once its SETTINGS have come (RFC 9113, 3.4). */
        @Override
        public void succeeded(Session result) {
            session = result;
            closeIfDialFailed();
        }

        /**
         * A dial that was given up may come through all the same, before or after that was decided. Nobody would use or
         * close such a session, and it would stay open for ever.
         */
        private boolean closeIfDialFailed() {
            Session opened = session;
            boolean failed;
            synchronized (UpstreamConnections.this) {
                failed = dialFailed;
            }
            if (failed && opened != null) {
                closeSession(opened, ErrorCode.CANCEL_STREAM_ERROR, "no settings");
            }
            return failed;
        }

        @Override
        public void failed(Throwable failure) {
            failDial();
        }

        private void failDial() {
            synchronized (UpstreamConnections.this) {
                if (dialEnded) {
                    return;
                }
                dialEnded = true;
                dialFailed = true;
            }
            decide(state -> state.dialFailed(clock.getAsDouble()));
            closeIfDialFailed();
        }

        @Override
        public void onSettings(Session from, SettingsFrame frame) {
            session = from;
            if (closeIfDialFailed()) {
                return;
            }
            Map<Integer, Integer> values = frame.getSettings();
            int streams = Math.min(maxStreams, values.getOrDefault(SettingsFrame.MAX_CONCURRENT_STREAMS, maxStreams));
            boolean first;
            synchronized (UpstreamConnections.this) {
                first = !dialEnded;
                dialEnded = true;
            }
            if (first) {
                decide(state -> state.connectionOpened(this, streams, clock.getAsDouble()));
            } else if (values.containsKey(SettingsFrame.MAX_CONCURRENT_STREAMS)) {
                decide(state -> state.maxStreamsChanged(this, streams, clock.getAsDouble()));
            }
        }

        @Override
        public void onGoAway(Session from, GoAwayFrame frame) {
            lastProcessedStream = frame.getLastStreamId();
            decide(state -> state.connectionGoingAway(this, clock.getAsDouble()));
        }

        @Override
        public void onClose(Session from, GoAwayFrame frame, Callback callback) {
            connectionEnded();
            callback.succeeded();
        }

        @Override
        public void onFailure(Session from, Throwable failure, Callback callback) {
            connectionEnded();
            callback.succeeded();
        }

        @Override
        public boolean onIdleTimeout(Session from) {
            return false; // the pool decides when an idle one is closed
        }

        /** Nothing is active on it any more, so that it need not wait for the host to close its side. */
        private void closeIdleSession() {
            closeSession(session, ErrorCode.NO_ERROR, "idle");
        }

        private void connectionEnded() {
            failDial();
            decide(state -> state.connectionLost(this, clock.getAsDouble()));
        }
    }

    private final HTTP2Client client;
    private final HostRegistry.Host host;
    private final int maxStreams;
    private final long dialTimeoutMs;
    private final Scheduler scheduler;
    private final DoubleSupplier clock;
    private final ConnectionPool<Connection, StreamWaiter> pool; // guarded by this

    /** {@code clock}: in ms. */
    UpstreamConnections(
            HTTP2Client client,
            HostRegistry.Host host,
            ConnectionPool.Limits limits,
            double dialTimeoutMs,
            Scheduler scheduler,
            DoubleSupplier clock) {
        this.client = client;
        this.host = host;
        maxStreams = limits.maxStreams();
        this.dialTimeoutMs = (long) Math.ceil(dialTimeoutMs);
        this.scheduler = scheduler;
        this.clock = clock;
        pool = new ConnectionPool<>(limits);
    }

    String address() {
        return host.address();
    }

    void requestStream(StreamWaiter waiter) {
        ConnectionPool.StreamGrant<Connection> grant;
        synchronized (this) {
            grant = pool.requestStream(waiter, clock.getAsDouble());
        }
        if (grant instanceof ConnectionPool.StreamGrant.Granted<Connection> granted) {
            waiter.granted(granted.connection());
        } else if (grant instanceof ConnectionPool.StreamGrant.Rejected<Connection>) {
            waiter.rejected();
        } else if (grant instanceof ConnectionPool.StreamGrant.Queued<Connection> queued && queued.openConnection()) {
            dial();
        }
    }

    /** Who waited no longer does; false if it was granted a stream or rejected already. */
    synchronized boolean cancel(StreamWaiter waiter) {
        return pool.cancel(waiter);
    }

    /** Whether the host is not to be used any more. */
    void setRetired(boolean retired) {
        decide(state -> state.setRetired(retired, clock.getAsDouble()));
    }

    void closeIdle() {
        decide(state -> state.closeIdle(clock.getAsDouble()));
    }

    /** Lets the pool decide under the lock, and acts on its decision without. */
    private void decide(
            Function<ConnectionPool<Connection, StreamWaiter>, ConnectionPool.Actions<Connection, StreamWaiter>>
                    event) {
        ConnectionPool.Actions<Connection, StreamWaiter> actions;
        synchronized (this) {
            actions = event.apply(pool);
        }
        actions.connectionsToClose().forEach(Connection::closeIdleSession);
        actions.assigned().forEach(assigned -> assigned.waiter().granted(assigned.connection()));
        actions.rejected().forEach(StreamWaiter::rejected);
        if (actions.openConnection()) {
            dial();
        }
    }

    private void dial() {
        Connection connection = new Connection();
        InetSocketAddress address = parseAddress(host.address());
        if (address == null) {
            connection.failDial();
            return;
        }
        scheduler.schedule(connection::failDial, dialTimeoutMs, TimeUnit.MILLISECONDS);
        client.connect(address, connection, connection);
    }

    private static void closeSession(Session session, ErrorCode code, String reason) {
        session.close(code.code, reason, Callback.from(((HTTP2Session) session).getEndPoint()::close));
    }

    /** The listed address, a numeric one so that no name is looked up; null if it is none. */
    private static InetSocketAddress parseAddress(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            return null;
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException invalid) {
            return null;
        }
    }
}
