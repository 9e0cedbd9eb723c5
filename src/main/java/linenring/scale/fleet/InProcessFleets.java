package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.protocol.Codec;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;

/** Simulated fleets of controllers in this process, through their event queues; one thread for all of them. */
public final class InProcessFleets implements AutoCloseable {
    private static final long TICK_NANOS = 5_000_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final long STOP_TIMEOUT_MS = 2000;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<SimulatedFleet> fleets = new ArrayList<>(); // on the thread
    private final Thread thread = new Thread(this::run, "simulated-fleets");
    private volatile boolean closed;

    /** Connects a fleet to its controller. */
    public final class Connection implements Uplink {
        private final SimulatedFleet fleet;
        private final Codec codec;
        private final Traffic traffic = new Traffic();
        private final InProcessStream[] streams;
        private EventQueue events; // null once it has ended

        private Connection(SimulatedFleet fleet, Codec codec, EventQueue events) {
            this.fleet = fleet;
            this.codec = codec;
            this.events = events;
            streams = new InProcessStream[fleet.layout().proxies()];
        }

        @Override
        public void join(int stream, InboundMessage.Subscribe subscribe) {
            if (events != null) {
                streams[subscribe.proxy()] =
                        new InProcessStream(this, subscribe.proxy(), stream, events.nextStreamNumber());
                send(subscribe.proxy(), subscribe);
            }
        }

        @Override
        public void leave(int proxy) {
            if (events != null && streams[proxy] != null) {
                events.enqueueStreamClosed(streams[proxy]);
            }
            streams[proxy] = null;
        }

        @Override
        public void send(int proxy, InboundMessage message) {
            if (events != null && streams[proxy] != null) {
                traffic.messageIn();
                events.enqueueMessage(streams[proxy], message);
            }
        }

        @Override
        public void report(InboundMessage.LoadReport report) {
            if (events != null) {
                traffic.messageIn();
                events.enqueueMessage(null, report);
            }
        }

        /** Messages, and bytes from the controller; messages to it are not encoded and have no bytes. */
        public Traffic traffic() {
            return traffic;
        }

        /** The proxies and collectors. */
        public SimulatedFleet fleet() {
            return fleet;
        }

        /** All proxies leave and join again. */
        public void rejoinAll() {
            tasks.add(() -> fleet.rejoinAll(nowMs()));
        }

        /** Nothing is sent any more, and the controller's memory is released. */
        public void end() {
            tasks.add(() -> {
                fleet.stop();
                events = null;
            });
        }
    }

    /** Takes the updates of a controller: encodes them, as a real one does, and hands them to the fleet. */
    private final class InProcessStream implements ProxyStream {
        private final Connection connection;
        private final int proxy;
        private final int fleetStream;
        private final long number;

        InProcessStream(Connection connection, int proxy, int fleetStream, long number) {
            this.connection = connection;
            this.proxy = proxy;
            this.fleetStream = fleetStream;
            this.number = number;
        }

        @Override
        public void write(ConfigurationUpdate update) {
            connection.traffic.bytesOut(connection.codec.encode(update).length);
            connection.traffic.messageOut();
            tasks.add(() -> connection.fleet.receive(proxy, fleetStream, update, nowMs()));
        }

        @Override
        public void close(String reason) {
            tasks.add(() -> connection.fleet.streamLost(proxy, fleetStream, nowMs()));
        }

        @Override
        public long number() {
            return number;
        }
    }

    /** Starts the thread. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Lets a fleet join through this event queue. */
    public Connection join(SimulatedFleet fleet, Codec codec, EventQueue events) {
        Connection connection = new Connection(fleet, codec, events);
        tasks.add(() -> {
            fleets.add(fleet);
            fleet.start(connection);
        });
        return connection;
    }

    private void run() {
        while (!closed) {
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            double nowMs = nowMs();
            fleets.forEach(fleet -> fleet.advance(nowMs));
            LockSupport.parkNanos(TICK_NANOS);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
