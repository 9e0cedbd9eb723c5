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
import linenring.testserver.LoadClient;
import linenring.testserver.Reaction;
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

/** Streams to hosts whose opening fails in Jetty although it is proven that the request was not executed. */
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

    /** A connection whose writing thread, once it is set, does not return from a write before the connection is closed. */
    private static final class SlowWriteEndPoint extends SocketChannelEndPoint {
        private final CountDownLatch closed = new CountDownLatch(1);
        private final CountDownLatch writeFailed = new CountDownLatch(1);
        private volatile Thread writer; // whose writes return late
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
                await(writeFailed); // the closing thread goes on once the write's failure was reported
            }
        }
    }

    /**
     * The GOAWAY that leaves a request's stream out is read while another thread has written the request's headers and
     * not yet returned from that write. The stream's end releases the connection, whose closing makes the write fail; that
     * failure is reported before the stream's.
     */
    @Test
    void retriesWhenGoAwayIsReadBeforeWriteOfHeadersReturns() throws Exception {
        SlowFirstConnector connector = new SlowFirstConnector();
        try (GatewayFixture fixture = new GatewayFixture(2, "", () -> new HTTP2Client(connector))) {
            fixture.backends().get(0).onPath("/assign", Reaction.of(Behaviour.GO_AWAY_BELOW));
            fixture.orderTable(new int[] {0}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            LoadClient client = fixture.connect();
            assertEquals(200, client.call("GET", "/quote").status()); // so that there is a connection
            fixture.awaitIdle();
            SlowWriteEndPoint endPoint = connector.first;
            HTTP2Session session = ((HTTP2Connection) endPoint.getConnection()).getSession();
            CountDownLatch mayWrite = new CountDownLatch(1);
            Thread writer = startHeldWriter(endPoint, session, mayWrite);
            int assign = client.send("POST", "/assign", "x-mark", "once");
            client.await(() -> session.getFrameQueueSize() > 0, "its headers wait to be written");
            fixture.orderTable(new int[] {1}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            mayWrite.countDown();
            assertEquals(200, client.await(assign).status());
            assertTrue(endPoint.closedWithinWrite, "the order of events that is meant came about");
            assertEquals(0, fixture.backends().get(0).executions("/assign"));
            assertEquals(1, fixture.backends().get(1).executions("/assign"));
            assertEquals(1, fixture.executionsOfKey("once"));
            writer.join();
        }
    }

    /** A thread that holds the right to write, and from {@code mayWrite} on writes what others have queued. */
    private static Thread startHeldWriter(SlowWriteEndPoint endPoint, HTTP2Session session, CountDownLatch mayWrite) {
        CountDownLatch holdsWriting = new CountDownLatch(1);
        Thread writer = new Thread(() -> {
            session.ping(new PingFrame(1, false), Callback.from(() -> {
                holdsWriting.countDown();
                await(mayWrite);
                endPoint.writer = Thread.currentThread();
            }));
            endPoint.writeFailed.countDown();
        });
        writer.start();
        assertTrue(await(holdsWriting));
        return writer;
    }

    /** Its first connection is a {@link SlowWriteEndPoint}. */
    private static final class SlowFirstConnector extends ClientConnector {
        private final AtomicInteger dials = new AtomicInteger();
        private volatile SlowWriteEndPoint first;

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            if (dials.getAndIncrement() > 0) {
                return super.newEndPoint(channel, selector, key);
            }
            first = new SlowWriteEndPoint((SocketChannel) channel, selector, key, getScheduler());
            return first;
        }
    }

    /** Jetty knows that the connection has ended and has not reported it: no stream is created, so nothing is written. */
    @Test
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    void retriesWhenStreamCannotBeCreated() throws Exception {
        CompletableFuture<Runnable> connectionFailed = new CompletableFuture<>();
        HTTP2Client dialer = new HTTP2Client(new ClientConnector()) {
            @Override
            public void connect(SocketAddress address, Session.Listener listener, Promise<Session> promise) {
                super.connect(address, new HeldFailure(listener, connectionFailed), promise);
            }
        };
        try (GatewayFixture fixture = new GatewayFixture(2, "avoid after=0\ntries least=40", () -> dialer)) {
            fixture.orderTable(new int[] {0}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            LoadClient client = fixture.connect();
            assertEquals(200, client.call("GET", "/quote").status()); // so that there is a connection
            fixture.awaitIdle();
            fixture.orderAll(RetryPolicy.ONE_IF_NOT_EXECUTED);
            fixture.backends().get(0).close();
            Runnable reportFailure = connectionFailed.get(WAIT_SECONDS, TimeUnit.SECONDS);
            for (int i = 0; i < 30; i++) { // the first attempt of half of them is at the first backend
                assertEquals(200, client.call("POST", "/assign").status(), "request " + i);
            }
            assertEquals(30, fixture.backends().get(1).executions("/assign"));
            reportFailure.run();
        }
    }

    /** Passes everything on, but hands a failure of the session to the test, which reports it when it likes. */
    private record HeldFailure(Session.Listener target, CompletableFuture<Runnable> failure)
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
