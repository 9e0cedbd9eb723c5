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
import linenring.testserver.LoadClient;
import linenring.testserver.Reaction;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/** Dials that succeed at the wrong moment, over loopback. */
class SlowDialsTest {
    /**
     * The host of the first attempt died on it; that of the second takes longer to send its SETTINGS than hosts recognise a
     * repeat.
     */
    @Test
    void doesNotSendRepeatThatWaitedPastDeduplicationWindow() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(4, "hosts dial=\"10s\"")) {
            CountDownLatch greets = new CountDownLatch(1);
            fixture.backends().get(2).greetAfter(greets);
            fixture.backends().get(0).onPath("/book", Reaction.of(Behaviour.DIE).after(300));
            fixture.orderTable(new int[] {0}, 1, RetryPolicy.ONE);
            LoadClient client = fixture.connect();
            long sent = System.nanoTime();
            int book = client.send("POST", "/book", "x-mark", "once");
            client.await(() -> fixture.backends().get(0).requests() == 1, "it is at the first host");
            fixture.orderTable(new int[] {2}, 1, RetryPolicy.ONE);
            while (System.nanoTime() - sent < 2_200_000_000L) {
                Thread.onSpinWait(); // four fifths of the window of 2.5 s are over
            }
            greets.countDown();
            assertEquals(502, client.await(book).status());
            assertEquals(
                    200, client.call("GET", "/quote").status()); // on the connection that the repeat had waited for
            assertEquals(0, fixture.backends().get(2).executionsOfKey("once"));
        }
    }

    /**
     * The dial's timer goes off before Jetty reports the session. Nobody knew of that session then, and it stayed open.
     */
    @Test
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    void closesSessionThatOpensAfterDialTimeout() throws Exception {
        LateClient client = new LateClient();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        client.start();
        scheduler.start();
        try (ServerSocket host = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) { // it sends no SETTINGS
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
                accepted.getInputStream().readAllBytes(); // the preface, and then its end
            }
        } finally {
            client.stop();
            scheduler.stop();
        }
    }

    /** Hands a session to the test, which reports it when it likes. */
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    private static final class LateClient extends HTTP2Client {
        private final CompletableFuture<Runnable> sessionOpened = new CompletableFuture<>();

        LateClient() {
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
            throw new AssertionError("there is no connection");
        }

        @Override
        public void rejected() {
            rejected.countDown();
        }
    }
}
