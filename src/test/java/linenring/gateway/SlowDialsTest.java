package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
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
import linenring.testserver.LoadClient;
import linenring.testserver.TestBackend.Deed;
import linenring.testserver.TestBackend.Told;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/** Dials that come through at the wrong moment, over loopback. */
class SlowDialsTest {
    /** The host of the first try died on it; that of the second takes longer to greet than hosts know a mark. */
    @Test
    void aRepeatThatWaitedForItsConnectionPastTheWindowIsNotSentAndIsAnsweredAtOnce() throws Exception {
        try (GatewayFixture rig = new GatewayFixture(4, "hosts dial=\"10s\"")) {
            CountDownLatch greets = new CountDownLatch(1);
            rig.nodes.get(2).greetsOnce(greets);
            rig.nodes.get(0).always("/book", Told.of(Deed.DIE).after(300));
            rig.table(new int[] {0}, 1, RetryPolicy.ONE);
            LoadClient c = rig.caller();
            long sent = System.nanoTime();
            int book = c.send("POST", "/book", "x-mark", "once");
            c.until(() -> rig.nodes.get(0).arrived() == 1, "it is at the first");
            rig.table(new int[] {2}, 1, RetryPolicy.ONE);
            while (System.nanoTime() - sent < 2_200_000_000L) {
                Thread.onSpinWait(); // four fifths of the window of 2.5 s are over
            }
            greets.countDown();
            assertEquals(502, c.await(book).status);
            assertEquals(200, c.call("GET", "/quote").status); // on the connection that it had waited for
            assertEquals(0, rig.nodes.get(2).marked("once"));
        }
    }

    /** The timer of the dial goes off before Jetty tells of the session, which nobody knew of then, and it stayed open. */
    @Test
    @SuppressWarnings("try") // Jetty's close() may throw InterruptedException
    void aSessionThatOpensAfterItsDialWasGivenUpIsClosed() throws Exception {
        CompletableFuture<Runnable> opens = new CompletableFuture<>();
        HTTP2Client client = new HTTP2Client(new ClientConnector()) {
            @Override
            public void connect(SocketAddress at, Session.Listener listener, Promise<Session> promise) {
                super.connect(at, listener, new Promise<>() {
                    @Override
                    public void succeeded(Session session) {
                        opens.complete(() -> promise.succeeded(session)); // told once the story says so
                    }

                    @Override
                    public void failed(Throwable x) {
                        opens.completeExceptionally(x);
                    }
                });
            }
        };
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler();
        client.start();
        scheduler.start();
        try (ServerSocket host = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) { // it says no SETTINGS
            HostRegistry.Host listed =
                    new HostRegistry.Host("s-0", "127.0.0.1:" + host.getLocalPort(), 0, -1, HostList.State.READY);
            UpstreamConnections link = new UpstreamConnections(
                    client,
                    listed,
                    new ConnectionPool.Limits(4, 32, 8, 15_000, 20, 500),
                    50,
                    scheduler,
                    () -> System.nanoTime() / 1e6);
            CountDownLatch turnedAway = new CountDownLatch(1);
            link.want(new UpstreamConnections.Wants() {
                @Override
                public void granted(UpstreamConnections.Connection on) {
                    throw new AssertionError("it has no connection");
                }

                @Override
                public void turnedAway() {
                    turnedAway.countDown();
                }
            });
            assertTrue(turnedAway.await(20, TimeUnit.SECONDS));
            Runnable comesThrough = opens.get(20, TimeUnit.SECONDS);
            try (Socket accepted = host.accept()) {
                accepted.setSoTimeout(5000);
                comesThrough.run();
                InputStream in = accepted.getInputStream();
                while (in.read() >= 0) {
                    // the preface, and then its end
                }
            }
        } finally {
            client.stop();
            scheduler.stop();
        }
    }
}
