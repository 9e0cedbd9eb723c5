package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linenring.planner.Commands.RetryPolicy;
import linenring.protocol.HostList;
import linenring.routing.ConnectionPool;
import linenring.routing.HostRegistry;
import linenring.testserver.Behaviour;
import linenring.testserver.Reaction;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/** Tests dials to hosts that succeed late, over the loopback interface. */
class SlowDialsTest {
    /**
     * The host of the first attempt has died during it. The host of the second attempt sends its SETTINGS only after the
     * deduplication window, so the retry must not be sent.
     */
    @Test
    void doesNotSendRetryThatWaitedPastDeduplicationWindow() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(4, "hosts dial=\"10s\"")) {
            CountDownLatch maySendSettings = new CountDownLatch(1);
            fixture.backends().get(2).delaySettingsUntil(maySendSettings);
            fixture.backends().get(0).onPath("/book", Reaction.of(Behaviour.DIE).withDelayMs(300));
            fixture.sendTable(new int[] {0}, 1, RetryPolicy.ONE);
            TestClient client = fixture.connect();
            long sentNanos = System.nanoTime();
            int bookingStream = client.send("POST", "/book", "x-mark", "once");
            client.await(
                    () -> fixture.backends().get(0).receivedRequests() == 1, "the first host has received the request");
            fixture.sendTable(new int[] {2}, 1, RetryPolicy.ONE);
            while (System.nanoTime() - sentNanos < 2_200_000_000L) {
                Thread.onSpinWait(); // waits until less than a fifth of the window of 2.5 s is left
            }
            maySendSettings.countDown();
            assertEquals(502, client.await(bookingStream).status());
            assertEquals(
                    200, client.call("GET", "/quote").status()); // uses the connection that the retry was waiting for
            assertEquals(0, fixture.backends().get(2).executionsOfKey("once"));
        }
    }

    /**
     * The dial times out before Jetty reports the new session. The session must be closed; it once stayed open, since no
     * component held a reference to it.
     */
    @Test
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    void closesSessionThatOpensAfterDialTimeout() throws Exception {
        DeferredSessionClient client = new DeferredSessionClient();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        client.start();
        scheduler.start();
        try (ServerSocket host =
                new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) { // the host sends no SETTINGS
            HostRegistry.Host listed =
                    new HostRegistry.Host("s-0", "127.0.0.1:" + host.getLocalPort(), 0, -1, HostList.State.READY);
            UpstreamConnections connections = new UpstreamConnections(
                    client,
                    listed,
                    new ConnectionPool.Limits(4, 32, 8, 15_000, 20, 500),
                    50,
                    scheduler,
                    () -> System.nanoTime() / 1e6);
            RejectedWaiter waiter = new RejectedWaiter();
            connections.requestStream(waiter);
            assertTrue(waiter.rejected.await(20, TimeUnit.SECONDS));
            Runnable reportSession = client.sessionOpened.get(20, TimeUnit.SECONDS);
            try (Socket accepted = host.accept()) {
                accepted.setSoTimeout(5000);
                reportSession.run();
                accepted.getInputStream().readAllBytes(); // reads the preface and then the end of the connection
            }
        } finally {
            client.stop();
            scheduler.stop();
        }
    }

    /** A client that reports a new session only when the test runs {@code sessionOpened}. */
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    private static final class DeferredSessionClient extends HTTP2Client {
        private final CompletableFuture<Runnable> sessionOpened = new CompletableFuture<>();

        DeferredSessionClient() {
            super(new ClientConnector());
        }

        @Override
        public void connect(SocketAddress address, Session.Listener listener, Promise<Session> promise) {
            super.connect(address, listener, new Promise<>() {
                @Override
                public void succeeded(Session session) {
                    sessionOpened.complete(() -> promise.succeeded(session));
                }

                @Override
                public void failed(Throwable failure) {
                    sessionOpened.completeExceptionally(failure);
                }
            });
        }
    }

    private static final class RejectedWaiter implements UpstreamConnections.StreamWaiter {
        private final CountDownLatch rejected = new CountDownLatch(1);

        @Override
        public void granted(UpstreamConnections.Connection connection) {
            throw new AssertionError("a stream was granted although the dial had timed out");
        }

        @Override
        public void rejected() {
            rejected.countDown();
        }
    }
}
