package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.HTTP2Connection;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.frames.GoAwayFrame;
import org.eclipse.jetty.http2.frames.PingFrame;
import org.eclipse.jetty.http2.frames.SettingsFrame;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;

/** Tests streams that Jetty fails to open in cases where the request was certainly not executed by the host. */
class FailedStreamsTest {
    private static final int WAIT_SECONDS = 15;

    private static boolean await(CountDownLatch latch) {
        try {
            return latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** An end point in which writes by a certain thread return only after the connection is closed. */
    private static final class SlowWriteEndPoint extends SocketChannelEndPoint {
        private final CountDownLatch closed = new CountDownLatch(1);
        private final CountDownLatch writeFailed = new CountDownLatch(1);
        private volatile Thread writer; // the thread whose writes return late; null for none
        private volatile boolean closedWithinWrite;

        SlowWriteEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey selectionKey, Scheduler scheduler) {
            super(channel, selector, selectionKey, scheduler);
        }

        @Override
        public boolean flush(ByteBuffer... buffers) throws IOException {
            boolean flushed = super.flush(buffers);
            if (Thread.currentThread().equals(writer)) {
                closedWithinWrite |= await(closed);
            }
            return flushed;
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            if (writer != null) {
                closed.countDown();
                await(writeFailed); // the closing thread continues after the write's failure was reported
            }
        }
    }

    /**
     * A GOAWAY below a request's stream is read while another thread is still in the write of the request's headers. The
     * end of the stream closes the connection, which makes the write fail, and Jetty reports the failed write before it
     * reports the stream as not processed. The request must still be retried.
     */
    @Test
    void retriesWhenGoAwayIsReadBeforeWriteOfHeadersReturns() throws Exception {
        SlowWriteConnector connector = new SlowWriteConnector();
        try (GatewayFixture fixture = new GatewayFixture(2, "", () -> new HTTP2Client(connector))) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.GO_AWAY_BELOW));
            fixture.sendTable(new int[] {0}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            TestClient client = fixture.connect();
            assertEquals(200, client.call("GET", "/quote").status()); // opens a connection to the host
            fixture.awaitIdle();
            SlowWriteEndPoint endPoint = connector.firstEndPoint;
            HTTP2Session session = ((HTTP2Connection) endPoint.getConnection()).getSession();
            CountDownLatch mayWrite = new CountDownLatch(1);
            Thread writer = startBlockedWriter(endPoint, session, mayWrite);
            int assign = client.send("POST", "/assign", "x-mark", "once");
            client.await(() -> session.getFrameQueueSize() > 0, "the request headers are queued for writing");
            fixture.sendTable(new int[] {1}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            mayWrite.countDown();
            assertEquals(200, client.await(assign).status());
            assertTrue(endPoint.closedWithinWrite, "the connection was closed during the write, as this test requires");
            assertEquals(0, fixture.backends().get(0).executions("/assign"));
            assertEquals(1, fixture.backends().get(1).executions("/assign"));
            assertEquals(1, fixture.executionsOfKey("once"));
            writer.join();
        }
    }

    /**
     * Jetty closes a session with a GOAWAY of its own when it cannot encode a frame, reports this to no listener and waits for
     * the host to close the connection. Guards against a connection that stays in the pool though no stream can be opened on
     * it: each later request was answered 502.
     */
    @Test
    void replacesConnectionWhoseSessionJettyHasClosed() throws Exception {
        SlowWriteConnector connector = new SlowWriteConnector();
        try (GatewayFixture fixture = new GatewayFixture(1, "", () -> new HTTP2Client(connector))) {
            fixture.backends()
                    .get(0)
                    .onPath("/quote/slow", Reaction.of(Behaviour.ANSWER).withDelayMs(500));
            TestClient client = fixture.connect();
            int inFlight = client.send("GET", "/quote/slow");
            client.await(() -> fixture.executions("/quote/slow") == 1, "a request is in flight");
            EndPoint endPoint = connector.firstEndPoint;
            ((HTTP2Connection) endPoint.getConnection())
                    .getSession()
                    .close(ErrorCode.COMPRESSION_ERROR.code, "cannot encode", Callback.NOOP);
            for (int i = 0; i < 5; i++) {
                assertEquals(200, client.call("POST", "/assign").status(), "request " + i);
            }
            assertEquals(200, client.await(inFlight).status());
            client.await(() -> !endPoint.isOpen(), "the connection is closed after its last stream");
        }
    }

    /** Starts a thread that blocks all writes of the session until {@code mayWrite}, then writes the queued frames. */
    private static Thread startBlockedWriter(
            SlowWriteEndPoint endPoint, HTTP2Session session, CountDownLatch mayWrite) {
        CountDownLatch writesBlocked = new CountDownLatch(1);
        Thread writer = new Thread(() -> {
            session.ping(new PingFrame(1, false), Callback.from(() -> {
                writesBlocked.countDown();
                await(mayWrite);
                endPoint.writer = Thread.currentThread();
            }));
            endPoint.writeFailed.countDown();
        });
        writer.start();
        assertTrue(await(writesBlocked));
        return writer;
    }

    /** A connector that uses a {@link SlowWriteEndPoint} for its first connection. */
    private static final class SlowWriteConnector extends ClientConnector {
        private final AtomicInteger dials = new AtomicInteger();
        private volatile SlowWriteEndPoint firstEndPoint;

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            if (dials.getAndIncrement() > 0) {
                return super.newEndPoint(channel, selector, key);
            }
            firstEndPoint = new SlowWriteEndPoint((SocketChannel) channel, selector, key, getScheduler());
            return firstEndPoint;
        }
    }

    /** Jetty has closed a connection without reporting it yet, so it creates no stream and writes nothing for a request. */
    @Test
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    void retriesWhenStreamCannotBeCreated() throws Exception {
        CompletableFuture<Runnable> connectionFailed = new CompletableFuture<>();
        HTTP2Client dialer = new HTTP2Client(new ClientConnector()) {
            @Override
            public void connect(SocketAddress address, Session.Listener listener, Promise<Session> promise) {
                super.connect(address, new DeferredFailureListener(listener, connectionFailed), promise);
            }
        };
        try (GatewayFixture fixture = new GatewayFixture(2, "avoid after=0\ntries least=40", () -> dialer)) {
            fixture.sendTable(new int[] {0}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            TestClient client = fixture.connect();
            assertEquals(200, client.call("GET", "/quote").status()); // opens a connection to the host
            fixture.awaitIdle();
            fixture.sendTableOfAllHosts(RetryPolicy.ONE_IF_NOT_EXECUTED);
            fixture.backends().get(0).close();
            Runnable reportFailure = connectionFailed.get(WAIT_SECONDS, TimeUnit.SECONDS);
            for (int i = 0; i < 30; i++) { // half of the requests have their first attempt at the closed backend
                assertEquals(200, client.call("POST", "/assign").status(), "request " + i);
            }
            assertEquals(30, fixture.backends().get(1).executions("/assign"));
            reportFailure.run();
        }
    }

    /** Forwards all events of a session, except a failure, which the test reports later by running {@code failure}. */
    private record DeferredFailureListener(Session.Listener target, CompletableFuture<Runnable> failure)
            implements Session.Listener {
        @Override
        public void onSettings(Session session, SettingsFrame frame) {
            target.onSettings(session, frame);
        }

        @Override
        public void onGoAway(Session session, GoAwayFrame frame) {
            target.onGoAway(session, frame);
        }

        @Override
        public void onClose(Session session, GoAwayFrame frame, Callback callback) {
            target.onClose(session, frame, callback);
        }

        @Override
        public void onFailure(Session session, Throwable cause, Callback callback) {
            failure.complete(() -> target.onFailure(session, cause, callback));
        }

        @Override
        public boolean onIdleTimeout(Session session) {
            return target.onIdleTimeout(session);
        }
    }
}
