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
import linenring.testserver.LoadClient;
import linenring.testserver.TestBackend.Deed;
import linenring.testserver.TestBackend.Told;
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

/** Streams to hosts whose opening fails in Jetty although the request is proven not to have run. */
class FailedStreamsTest {
    private static final int WAIT_SECONDS = 15;

    private static boolean await(CountDownLatch latch) {
        try {
            return latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** A connection whose writing thread, once told to, does not return from a write before the connection is closed. */
    private static final class SlowWriteEndPoint extends SocketChannelEndPoint {
        private final CountDownLatch closed = new CountDownLatch(1), writeFailed = new CountDownLatch(1);
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
                await(writeFailed); // the closing thread goes on once the write's failure was told
            }
        }
    }

    /**
     * The GOAWAY that leaves a request's stream out is read while another thread has written the request's head and not
     * yet returned from that write. The stream's end lets the connection go, whose closing makes the write fail; that
     * failure is told before the stream's.
     */
    @Test
    void aGoAwayThatIsReadBeforeTheWriteOfTheHeadReturnsSendsAnAssignElsewhere() throws Exception {
        AtomicInteger dials = new AtomicInteger();
        SlowWriteEndPoint[] first = new SlowWriteEndPoint[1];
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                if (dials.getAndIncrement() > 0) {
                    return super.newEndPoint(channel, selector, key);
                }
                return first[0] = new SlowWriteEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        try (GatewayFixture rig = new GatewayFixture(2, "", () -> new HTTP2Client(connector))) {
            rig.nodes.get(0).always("/assign", Told.of(Deed.GO_AWAY_BELOW));
            rig.table(new int[] {0}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            LoadClient caller = rig.caller();
            assertEquals(200, caller.call("GET", "/quote").status); // so that there is a connection
            caller.until(() -> rig.front.runningNow() == 0, "nothing runs");
            SlowWriteEndPoint endPoint = first[0];
            HTTP2Session session = ((HTTP2Connection) endPoint.getConnection()).getSession();
            CountDownLatch holdsWriting = new CountDownLatch(1), mayWrite = new CountDownLatch(1);
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
            int assign = caller.send("POST", "/assign", "x-mark", "once");
            caller.until(() -> session.getFrameQueueSize() > 0, "its head waits to be written");
            rig.table(new int[] {1}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            mayWrite.countDown();
            assertEquals(200, caller.await(assign).status);
            assertTrue(endPoint.closedWithinWrite, "the order that is meant came about");
            assertEquals(0, rig.nodes.get(0).ran("/assign"));
            assertEquals(1, rig.nodes.get(1).ran("/assign"));
            assertEquals(1, rig.marked("once"));
            writer.join();
        }
    }

    /** Jetty knows that the connection has ended and has not told us yet: no stream is created, so nothing is written. */
    @Test
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    void anAssignWhoseStreamCannotBeCreatedGoesElsewhere() throws Exception {
        CompletableFuture<Runnable> ends = new CompletableFuture<>();
        HTTP2Client client = new HTTP2Client(new ClientConnector()) {
            @Override
            public void connect(SocketAddress at, Session.Listener listener, Promise<Session> promise) {
                super.connect(at, new HeldFailure(listener, ends), promise);
            }
        };
        try (GatewayFixture rig = new GatewayFixture(2, "avoid after=0\ntries least=40", () -> client)) {
            rig.table(new int[] {0}, 1, RetryPolicy.ONE_IF_NOT_EXECUTED);
            LoadClient caller = rig.caller();
            assertEquals(200, caller.call("GET", "/quote").status); // so that there is a connection
            caller.until(() -> rig.front.runningNow() == 0, "nothing runs");
            rig.all(RetryPolicy.ONE_IF_NOT_EXECUTED);
            rig.nodes.get(0).close();
            Runnable tells = ends.get(WAIT_SECONDS, TimeUnit.SECONDS);
            for (int i = 0; i < 30; i++) { // half of them are sent to the first at first
                assertEquals(200, caller.call("POST", "/assign").status, "request " + i);
            }
            assertEquals(30, rig.nodes.get(1).ran("/assign"));
            tells.run();
        }
    }

    /** Passes everything on, but hands a failure of the session to the test, which tells it when it likes. */
    private record HeldFailure(Session.Listener to, CompletableFuture<Runnable> failure) implements Session.Listener {
        @Override
        public void onSettings(Session session, SettingsFrame frame) {
            to.onSettings(session, frame);
        }

        @Override
        public void onGoAway(Session session, GoAwayFrame frame) {
            to.onGoAway(session, frame);
        }

        @Override
        public void onClose(Session session, GoAwayFrame frame, Callback callback) {
            to.onClose(session, frame, callback);
        }

        @Override
        public void onFailure(Session session, Throwable cause, Callback callback) {
            failure.complete(() -> to.onFailure(session, cause, callback));
        }

        @Override
        public boolean onIdleTimeout(Session session) {
            return to.onIdleTimeout(session);
        }
    }
}
