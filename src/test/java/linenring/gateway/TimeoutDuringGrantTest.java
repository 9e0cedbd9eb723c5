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
import linenring.planner.Commands.RetryPolicy;
import linenring.testserver.Frame;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.frames.SettingsFrame;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.Promise;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests an attempt that times out after the pool has granted its stream and before the attempt is notified. */
@Timeout(60)
class TimeoutDuringGrantTest {
    private static final int FRAME_TYPE_OFFSET = 3;
    private static final int WAIT_SECONDS = 15;

    /** An end point that blocks the first write of request headers. */
    private static final class BlockedHeadersEndPoint extends SocketChannelEndPoint {
        private final BlockedHeadersConnector connector;

        BlockedHeadersEndPoint(
                SocketChannel channel, ManagedSelector selector, SelectionKey key, BlockedHeadersConnector connector) {
            super(channel, selector, key, connector.getScheduler());
            this.connector = connector;
        }

        @Override
        public boolean flush(ByteBuffer... buffers) throws IOException {
            for (ByteBuffer buffer : buffers) {
                if (buffer.remaining() > FRAME_TYPE_OFFSET
                        && buffer.get(buffer.position() + FRAME_TYPE_OFFSET) == Frame.HEADERS) {
                    connector.blockFirstWrite();
                }
            }
            return super.flush(buffers);
        }
    }

    private static final class BlockedHeadersConnector extends ClientConnector {
        private final CountDownLatch isBlocked = new CountDownLatch(1);
        private final CountDownLatch mayContinue = new CountDownLatch(1);

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new BlockedHeadersEndPoint((SocketChannel) channel, selector, key, this);
        }

        private void blockFirstWrite() throws IOException {
            isBlocked.countDown();
            try {
                mayContinue.await(WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
        }
    }

    /** Forwards the events of a session, except the first SETTINGS, which the test forwards later. */
    private record DeferredSettingsListener(Session.Listener target, CompletableFuture<Runnable> settings)
            implements Session.Listener {
        @Override
        public void onSettings(Session session, SettingsFrame frame) {
            settings.complete(() -> target.onSettings(session, frame));
        }
    }

    /**
     * A connection opens and the pool grants streams to two waiting requests. While the first one's headers are being written,
     * the second one times out. Guards against a request that is never answered and holds its capacity, since the timeout left
     * the answer to the grant, and the grant to the timeout.
     */
    @Test
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    void answersRequestThatTimesOutBeforeItsGrantIsHandled() throws Exception {
        BlockedHeadersConnector connector = new BlockedHeadersConnector();
        CompletableFuture<Runnable> settings = new CompletableFuture<>();
        HTTP2Client dialer = new HTTP2Client(connector) {
            @Override
            public void connect(SocketAddress address, Session.Listener listener, Promise<Session> promise) {
                super.connect(address, new DeferredSettingsListener(listener, settings), promise);
            }
        };
        try (GatewayFixture fixture = new GatewayFixture(1, "hosts dial=\"10s\"", () -> dialer)) {
            fixture.sendTableOfAllHosts(RetryPolicy.ONE); // an attempt times out after 1.2 latency objectives
            TestClient client = fixture.connect();
            int first = client.send("GET", "/quote/first");
            int second = client.send("GET", "/quote/second");
            client.await(() -> fixture.gateway().activeRequests() == 2, "both requests are active");
            assertEquals(404, client.call("GET", "/no-route").status()); // the requests before it wait for a stream
            Runnable openConnection = settings.get(WAIT_SECONDS, TimeUnit.SECONDS);
            Thread granting = new Thread(openConnection);
            granting.start();
            assertTrue(connector.isBlocked.await(WAIT_SECONDS, TimeUnit.SECONDS), "the first headers are written");
            assertEquals(502, client.await(second).status());
            connector.mayContinue.countDown();
            granting.join();
            client.await(first);
            fixture.awaitIdle();
            assertEquals(0, fixture.executions("/quote/second"));
        }
    }
}
