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

/** Runs the simulated fleets of the controllers in this process on one thread, and connects them through event queues. */
public final class InProcessFleets implements AutoCloseable {
    private static final long TICK_NANOS = 5_000_000;
    private static final double NANOS_PER_MS = 1e6;
    private static final long STOP_TIMEOUT_MS = 2000;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<SimulatedFleet> fleets = new ArrayList<>(); // accessed only by the thread
    private final Thread thread = new Thread(this::run, "simulated-fleets");
    private volatile boolean closed;

    /** The connection of a fleet to its controller. */
    public final class Connection implements Uplink {
        private final SimulatedFleet fleet;
        private final Codec codec;
        private final Traffic traffic = new Traffic();
        private final InProcessStream[] streams;
        private EventQueue events; // null after the connection has ended

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

        /**
         * Returns the traffic with the controller. Messages to the controller are counted without bytes, since they are not
         * encoded.
         */
        public Traffic traffic() {
            return traffic;
        }

        /** Returns the simulated proxies and collectors. */
        public SimulatedFleet fleet() {
            return fleet;
        }

        /** Disconnects all proxies and lets them reconnect. */
        public void rejoinAll() {
            tasks.add(() -> fleet.rejoinAll(nowMs()));
        }

        /** Ends all communication, and releases the reference to the controller's queue. */
        public void end() {
            tasks.add(() -> {
                fleet.stop();
                events = null;
            });
        }
    }

    /** Receives a controller's updates: encodes them to count bytes, like a real stream, and passes them to the fleet. */
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
        public long streamNumber() {
            return number;
        }
    }

    /** Starts the fleets' thread. */
    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Connects a fleet to a controller by the controller's event queue, and starts the fleet. */
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
