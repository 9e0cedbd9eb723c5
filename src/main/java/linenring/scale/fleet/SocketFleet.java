package linenring.scale.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;
import linenring.scale.sockets.SocketLink;
import linenring.scale.sockets.SocketLoop;

/** A hollow fleet over loopback sockets to a steward: a stream for each proxy, a connection for each zone's collector. */
public final class SocketFleet implements Uplink, AutoCloseable {
    private static final long TICK_MS = 5;
    private static final double COLLECTOR_REDIAL_MS = 300;

    private final SimulatedFleet fleet;
    private final InetSocketAddress steward;
    private final InboundMessageEncoder json;
    private final SocketLoop loop;
    private final Traffic traffic = new Traffic();
    private final Peer[] streams;
    private final Collector[] collectors;

    /** A connection that says something once it is up. */
    private abstract class Peer implements SocketLink.Handler {
        private final InboundMessage first;
        SocketLink link;

        Peer(InboundMessage first) {
            this.first = first;
        }

        void dial() {
            loop.connect(steward, this);
        }

        @Override
        public void connected(SocketLink with) {
            link = with;
            say(first);
        }

        void say(InboundMessage what) {
            if (link != null && !link.isClosed()) {
                byte[] line = json.line(what);
                traffic.messagesIn.increment();
                traffic.bytesIn.add(line.length);
                link.send(line);
            }
        }

        void close() {
            if (link != null) {
                link.close();
            }
        }
    }

    private final class ProxyStream extends Peer {
        private final int proxy;
        private final int number;
        private final ConfigurationUpdateDecoder reader = new ConfigurationUpdateDecoder();
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        ProxyStream(int number, InboundMessage.Subscribe joining) {
            super(joining);
            this.proxy = joining.proxy();
            this.number = number;
        }

        @Override
        public void received(SocketLink with, ByteBuffer bytes) {
            traffic.bytesOut.add(bytes.remaining());
            while (bytes.hasRemaining()) {
                byte next = bytes.get();
                if (next != '\n') {
                    line.write(next);
                    continue;
                }
                lineEnds();
            }
        }

        private void lineEnds() {
            byte[] whole = line.toByteArray();
            line.reset();
            traffic.messagesOut.increment();
            try {
                ConfigurationUpdate order = reader.line(whole, 0, whole.length);
                if (order != null) {
                    fleet.ordered(proxy, number, order, now());
                }
            } catch (IOException e) {
                fleet.fault("proxy " + proxy + " can't read a line: " + e.getMessage());
                close();
            }
        }

        @Override
        public void closed(SocketLink with) {
            fleet.lost(proxy, number, now());
        }
    }

    private final class Collector extends Peer {
        private double redialAt = Double.POSITIVE_INFINITY;

        Collector(int zone) {
            super(new InboundMessage.Collector(zone));
        }

        @Override
        public void received(SocketLink with, ByteBuffer bytes) {
            fleet.fault("a collector was written to");
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(SocketLink with) {
            redialAt = now() + COLLECTOR_REDIAL_MS;
        }
    }

    /** Joins at that address once it is started. */
    public SocketFleet(SimulatedFleet fleet, InetSocketAddress steward, String name) throws IOException {
        this.fleet = fleet;
        this.steward = steward;
        json = new InboundMessageEncoder(fleet.layout());
        loop = new SocketLoop(name, TICK_MS, this::tick);
        streams = new Peer[fleet.layout().proxies()];
        collectors = new Collector
                [fleet.layout().proxies() == 0 ? 0 : fleet.layout().zones().size()];
    }

    public void start() {
        loop.start();
        loop.execute(() -> {
            for (int zone = 0; zone < collectors.length; zone++) {
                collectors[zone] = new Collector(zone);
                collectors[zone].dial();
            }
            fleet.start(this, now());
        });
    }

    /** All proxies leave and join again. */
    public void rejoinAll() {
        loop.execute(() -> fleet.rejoinAll(now()));
    }

    private void tick() {
        double now = now();
        fleet.advance(now);
        for (Collector collector : collectors) {
            if (collector != null && collector.redialAt <= now) {
                collector.redialAt = Double.POSITIVE_INFINITY;
                collector.dial();
            }
        }
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    @Override
    public void join(int stream, InboundMessage.Subscribe joining) {
        ProxyStream opened = new ProxyStream(stream, joining);
        streams[joining.proxy()] = opened;
        opened.dial();
    }

    @Override
    public void leave(int proxy) {
        Peer stream = streams[proxy];
        streams[proxy] = null;
        if (stream != null) {
            stream.close();
        }
    }

    @Override
    public void say(int proxy, InboundMessage what) {
        if (streams[proxy] != null) {
            streams[proxy].say(what);
        }
    }

    @Override
    public void report(InboundMessage.LoadReport sums) {
        collectors[sums.zone()].say(sums);
    }

    public SimulatedFleet fleet() {
        return fleet;
    }

    public Traffic traffic() {
        return traffic;
    }

    /** Waits until all that was told to the loop before is done. */
    public boolean awaitTasks() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(done::countDown);
        return done.await(5, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        fleet.stop();
        loop.close();
    }
}
