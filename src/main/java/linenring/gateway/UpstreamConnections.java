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
 * Manages the connections to one host by carrying out the decisions of a {@link ConnectionPool}. The pool is called under
 * this object's lock. Its decisions are carried out without the lock, since Jetty and the waiters may call back.
 */
final class UpstreamConnections {
    /** Waits for a stream to the host. Exactly one of its methods is called, once, from any thread. */
    interface StreamWaiter {
        /** Grants a stream on the connection; the waiter calls {@link Connection#streamClosed} when the stream has closed. */
        void granted(Connection connection);

        /** Reports that no connection to the host is available, or none in time. */
        void rejected();
    }

    /** One connection to the host, with the limits that the host has announced. */
    final class Connection implements Session.Listener, Promise<Session> {
        private volatile Session session;
        private volatile int lastProcessedStream =
                Integer.MAX_VALUE; // last stream of the host's GOAWAY (RFC 9113, 6.8)
        private boolean hasDialEnded; // guarded by the enclosing object
        private boolean hasDialFailed; // guarded by the enclosing object

        Session session() {
            return session;
        }

        /** Whether a GOAWAY of the host announces that it did not process the stream (RFC 9113, 6.8). */
        boolean isNotProcessed(int streamId) {
            return streamId > lastProcessedStream;
        }

        /** Returns a granted stream to the pool after it has closed. */
        void streamClosed() {
            applyToPool(state -> state.streamClosed(this, clock.getAsDouble()));
        }

        /** Stores the new session; the dial succeeds only when the host's SETTINGS arrive (RFC 9113, 3.4). */
        @Override
        public void succeeded(Session result) {
            session = result;
            closeIfDialFailed();
        }

        /**
         * Closes the session if the dial has already failed by its timeout, and returns whether the dial has failed. Jetty
         * may open the session before or after the timeout; without this check an unused session would never be closed.
         */
        private boolean closeIfDialFailed() {
            Session openedSession = session;
            boolean hasFailed;
            synchronized (UpstreamConnections.this) {
                hasFailed = hasDialFailed;
            }
            if (hasFailed && openedSession != null) {
                closeSession(openedSession, ErrorCode.CANCEL_STREAM_ERROR, "no settings");
            }
            return hasFailed;
        }

        @Override
        public void failed(Throwable failure) {
            failDial();
        }

        private void failDial() {
            synchronized (UpstreamConnections.this) {
                if (hasDialEnded) {
                    return;
                }
                hasDialEnded = true;
                hasDialFailed = true;
            }
            applyToPool(state -> state.dialFailed(clock.getAsDouble()));
            closeIfDialFailed();
        }

        @Override
        public void onSettings(Session hostSession, SettingsFrame frame) {
            session = hostSession;
            if (closeIfDialFailed()) {
                return;
            }
            Map<Integer, Integer> values = frame.getSettings();
            int streams = Math.min(maxStreams, values.getOrDefault(SettingsFrame.MAX_CONCURRENT_STREAMS, maxStreams));
            boolean isFirstSettings;
            synchronized (UpstreamConnections.this) {
                isFirstSettings = !hasDialEnded;
                hasDialEnded = true;
            }
            if (isFirstSettings) {
                applyToPool(state -> state.connectionOpened(this, streams, clock.getAsDouble()));
            } else if (values.containsKey(SettingsFrame.MAX_CONCURRENT_STREAMS)) {
                applyToPool(state -> state.maxStreamsChanged(this, streams, clock.getAsDouble()));
            }
        }

        @Override
        public void onGoAway(Session hostSession, GoAwayFrame frame) {
            lastProcessedStream = frame.getLastStreamId();
            retire();
        }

        @Override
        public void onClose(Session hostSession, GoAwayFrame frame, Callback callback) {
            connectionLost();
            callback.succeeded();
        }

        @Override
        public void onFailure(Session hostSession, Throwable failure, Callback callback) {
            connectionLost();
            callback.succeeded();
        }

        @Override
        public boolean onIdleTimeout(Session hostSession) {
            return false; // the pool decides when an idle connection is closed
        }

        /** Takes no new streams, and closes the session once its active streams have ended. */
        private void retire() {
            applyToPool(state -> state.connectionGoingAway(this, clock.getAsDouble()));
        }

        /** Closes the session and its socket at once, since no stream is active on an idle connection. */
        private void closeIdleSession() {
            closeSession(session, ErrorCode.NO_ERROR, "idle");
        }

        private void connectionLost() {
            failDial();
            applyToPool(state -> state.connectionLost(this, clock.getAsDouble()));
        }
    }

    private final HTTP2Client client;
    private final HostRegistry.Host host;
    private final int maxStreams;
    private final long dialTimeoutMs;
    private final Scheduler scheduler;
    private final DoubleSupplier clock;
    private final ConnectionPool<Connection, StreamWaiter> pool; // guarded by this

    /** Creates the connection pool of one host; the {@code clock} returns milliseconds. */
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
            grant(waiter, granted.connection());
        } else if (grant instanceof ConnectionPool.StreamGrant.Rejected<Connection>) {
            waiter.rejected();
        } else if (grant instanceof ConnectionPool.StreamGrant.Queued<Connection> queued
                && queued.shouldOpenConnection()) {
            dial();
        }
    }

    /** Removes a waiter and returns true, or returns false if it was already granted a stream or rejected. */
    synchronized boolean cancel(StreamWaiter waiter) {
        return pool.cancel(waiter);
    }

    synchronized boolean hasWaiters() {
        return pool.hasWaiters();
    }

    /** Sets whether the host is retired, in which case its connections accept no new streams. */
    void setRetired(boolean isRetired) {
        applyToPool(state -> state.setRetired(isRetired, clock.getAsDouble()));
    }

    void closeIdle() {
        applyToPool(state -> state.closeIdle(clock.getAsDouble()));
    }

    /** Passes an event to the pool under the lock, and carries out the pool's decisions without the lock. */
    private void applyToPool(
            Function<ConnectionPool<Connection, StreamWaiter>, ConnectionPool.Actions<Connection, StreamWaiter>>
                    event) {
        ConnectionPool.Actions<Connection, StreamWaiter> actions;
        synchronized (this) {
            actions = event.apply(pool);
        }
        actions.connectionsToClose().forEach(Connection::closeIdleSession);
        actions.assigned().forEach(assigned -> grant(assigned.waiter(), assigned.connection()));
        actions.rejected().forEach(StreamWaiter::rejected);
        if (actions.shouldOpenConnection()) {
            dial();
        }
    }

    /**
     * Grants a stream on the connection, or requests another one if Jetty has closed the connection's session. Jetty does so
     * when it cannot encode a frame; it reports no event, and waits for the host to close the connection.
     */
    private void grant(StreamWaiter waiter, Connection connection) {
        if (connection.session().isClosed()) {
            connection.retire();
            connection.streamClosed();
            requestStream(waiter);
        } else {
            waiter.granted(connection);
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

    /** Parses a numeric IP address with a port, without a DNS lookup; returns null if the address is invalid. */
    private static InetSocketAddress parseAddress(String address) {
        int colon = address == null ? -1 : address.lastIndexOf(':');
        if (colon < 0 || !address.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            return null;
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(address.substring(0, colon)), Integer.parseInt(address.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException invalid) {
            return null;
        }
    }
}
