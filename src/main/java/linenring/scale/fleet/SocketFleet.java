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

/** A simulated fleet over loopback sockets to a controller: a stream for each proxy, a connection for each zone's collector. */
public final class SocketFleet implements Uplink, AutoCloseable {
    private static final long TICK_MS = 5;
    private static final double NANOS_PER_MS = 1e6;
    private static final long TASKS_TIMEOUT_S = 5;
    private static final double COLLECTOR_RECONNECT_MS = 300;

    private final SimulatedFleet fleet;
    private final InetSocketAddress controller;
    private final InboundMessageEncoder encoder;
    private final SocketLoop loop;
    private final Traffic traffic = new Traffic();
    private final Peer[] streams;
    private final Collector[] collectors;

    /** A connection that introduces itself once it is open. */
    private abstract class Peer implements SocketLink.Handler {
        private final InboundMessage introduction;
        private SocketLink link;

        Peer(InboundMessage introduction) {
            this.introduction = introduction;
        }

        void connect() {
            loop.connect(controller, this);
        }

        @Override
        public void connected(SocketLink opened) {
            link = opened;
            send(introduction);
        }

        void send(InboundMessage message) {
            if (link != null && !link.isClosed()) {
                byte[] line = encoder.line(message);
                traffic.messageIn();
                traffic.bytesIn(line.length);
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
        private final ConfigurationUpdateDecoder decoder = new ConfigurationUpdateDecoder();
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        ProxyStream(int number, InboundMessage.Subscribe subscribe) {
            super(subscribe);
            this.proxy = subscribe.proxy();
            this.number = number;
        }

        @Override
        public void received(SocketLink from, ByteBuffer bytes) {
            traffic.bytesOut(bytes.remaining());
            while (bytes.hasRemaining()) {
                byte next = bytes.get();
                if (next != '\n') {
                    line.write(next);
                    continue;
                }
                endLine();
            }
        }

        private void endLine() {
            byte[] complete = line.toByteArray();
            line.reset();
            traffic.messageOut();
            try {
                ConfigurationUpdate update = decoder.line(complete, 0, complete.length);
                if (update != null) {
                    fleet.receive(proxy, number, update, nowMs());
                }
            } catch (IOException invalid) {
                fleet.fault("proxy " + proxy + " can't read a line: " + invalid.getMessage());
                close();
            }
        }

        @Override
        public void closed(SocketLink ended) {
            fleet.streamLost(proxy, number, nowMs());
        }
    }

    private final class Collector extends Peer {
        private double reconnectAtMs = Double.POSITIVE_INFINITY;

        Collector(int zone) {
            super(new InboundMessage.Collector(zone));
        }

        @Override
        public void received(SocketLink from, ByteBuffer bytes) {
            fleet.fault("a collector received something");
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(SocketLink ended) {
            reconnectAtMs = nowMs() + COLLECTOR_RECONNECT_MS;
        }
    }

    /** A fleet that joins at this address once it is started. */
    public SocketFleet(SimulatedFleet fleet, InetSocketAddress controller, String name) throws IOException {
        this.fleet = fleet;
        this.controller = controller;
        encoder = new InboundMessageEncoder(fleet.layout());
        loop = new SocketLoop(name, TICK_MS, this::tick);
        streams = new Peer[fleet.layout().proxies()];
        collectors = new Collector
                [fleet.layout().proxies() == 0 ? 0 : fleet.layout().zones().size()];
    }

    /** All collectors and proxies connect. */
    public void start() {
        loop.start();
        loop.execute(() -> {
            for (int zone = 0; zone < collectors.length; zone++) {
                collectors[zone] = new Collector(zone);
                collectors[zone].connect();
            }
            fleet.start(this);
        });
    }

    /** All proxies leave and join again. */
    public void rejoinAll() {
        loop.execute(() -> fleet.rejoinAll(nowMs()));
    }

    private void tick() {
        double nowMs = nowMs();
        fleet.advance(nowMs);
        for (Collector collector : collectors) {
            if (collector != null && collector.reconnectAtMs <= nowMs) {
                collector.reconnectAtMs = Double.POSITIVE_INFINITY;
                collector.connect();
            }
        }
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public void join(int stream, InboundMessage.Subscribe subscribe) {
        ProxyStream opened = new ProxyStream(stream, subscribe);
        streams[subscribe.proxy()] = opened;
        opened.connect();
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
    public void send(int proxy, InboundMessage message) {
        if (streams[proxy] != null) {
            streams[proxy].send(message);
        }
    }

    @Override
    public void report(InboundMessage.LoadReport report) {
        collectors[report.zone()].send(report);
    }

    /** The proxies and collectors. */
    public SimulatedFleet fleet() {
        return fleet;
    }

    /** What went to and from the controller. */
    public Traffic traffic() {
        return traffic;
    }

    /** Waits until the loop has run all tasks given to it before. */
    public boolean awaitTasks() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(done::countDown);
        return done.await(TASKS_TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        fleet.stop();
        loop.close();
    }
}
