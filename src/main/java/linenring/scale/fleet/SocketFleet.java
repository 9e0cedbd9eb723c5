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

/** Connects a simulated fleet to a controller over loopback: one stream for each proxy, one connection for each zone's collector. */
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

    /** A connection that sends its identifying message when it is open. */
    private abstract class Peer implements SocketLink.Handler {
        private final InboundMessage identificationMessage;
        private SocketLink link;

        Peer(InboundMessage identification) {
            this.identificationMessage = identification;
        }

        void open() {
            loop.connect(controller, this);
        }

        @Override
        public void connected(SocketLink opened) {
            link = opened;
            send(identificationMessage);
        }

        void send(InboundMessage message) {
            if (link != null && !link.isClosed()) {
                byte[] line = encoder.encodeLine(message);
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
        private final int streamNumber;
        private final ConfigurationUpdateDecoder decoder = new ConfigurationUpdateDecoder();
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        ProxyStream(int number, InboundMessage.Subscribe subscribe) {
            super(subscribe);
            this.proxy = subscribe.proxy();
            this.streamNumber = number;
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
                decodeCompletedLine();
            }
        }

        private void decodeCompletedLine() {
            byte[] complete = line.toByteArray();
            line.reset();
            traffic.messageOut();
            try {
                ConfigurationUpdate update = decoder.decodeLine(complete, 0, complete.length);
                if (update != null) {
                    fleet.receive(proxy, streamNumber, update, nowMs());
                }
            } catch (IOException invalid) {
                fleet.addFault("proxy " + proxy + " cannot decode a line: " + invalid.getMessage());
                close();
            }
        }

        @Override
        public void closed(SocketLink ended) {
            fleet.streamLost(proxy, streamNumber, nowMs());
        }
    }

    private final class Collector extends Peer {
        private double reconnectAtMs = Double.POSITIVE_INFINITY;

        Collector(int zone) {
            super(new InboundMessage.Collector(zone));
        }

        @Override
        public void received(SocketLink from, ByteBuffer bytes) {
            fleet.addFault("a collector received data, which controllers never send to collectors");
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(SocketLink ended) {
            reconnectAtMs = nowMs() + COLLECTOR_RECONNECT_MS;
        }
    }

    /** Creates the connections of a fleet to the controller's address; {@link #start} opens them. */
    public SocketFleet(SimulatedFleet fleet, InetSocketAddress controller, String name) throws IOException {
        this.fleet = fleet;
        this.controller = controller;
        encoder = new InboundMessageEncoder(fleet.layout());
        loop = new SocketLoop(name, TICK_MS, this::tick);
        streams = new Peer[fleet.layout().proxies()];
        collectors = new Collector
                [fleet.layout().proxies() == 0 ? 0 : fleet.layout().zones().size()];
    }

    /** Connects all collectors and proxies. */
    public void start() {
        loop.start();
        loop.execute(() -> {
            for (int zone = 0; zone < collectors.length; zone++) {
                collectors[zone] = new Collector(zone);
                collectors[zone].open();
            }
            fleet.start(this);
        });
    }

    /** Disconnects all proxies and lets them reconnect. */
    public void rejoinAll() {
        loop.execute(() -> fleet.rejoinAll(nowMs()));
    }

    private void tick() {
        double nowMs = nowMs();
        fleet.advance(nowMs);
        for (Collector collector : collectors) {
            if (collector != null && collector.reconnectAtMs <= nowMs) {
                collector.reconnectAtMs = Double.POSITIVE_INFINITY;
                collector.open();
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
        opened.open();
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

    /** Returns the simulated proxies and collectors. */
    public SimulatedFleet fleet() {
        return fleet;
    }

    /** Returns the traffic with the controller. */
    public Traffic traffic() {
        return traffic;
    }

    /** Waits until the socket loop has run all tasks submitted before; returns false after a timeout. */
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
