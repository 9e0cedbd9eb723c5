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

/** Hollow fleets that speak with hollow stewards in this process, through their exchanges; one thread for all of them. */
public final class InProcessFleets implements AutoCloseable {
    private static final long TICK_NS = 5_000_000;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<SimulatedFleet> fleets = new ArrayList<>(); // on the thread
    private final Thread thread = new Thread(this::run, "hollow-fleets");
    private volatile boolean closed;

    /** A fleet's way to its steward. */
    public final class Connection implements Uplink {
        private final SimulatedFleet fleet;
        private final Codec codec;
        private final Traffic traffic = new Traffic();
        private final InProcessStream[] streams;
        private EventQueue exchange; // null once it has ended

        private Connection(SimulatedFleet fleet, Codec codec, EventQueue exchange) {
            this.fleet = fleet;
            this.codec = codec;
            this.exchange = exchange;
            streams = new InProcessStream[fleet.layout().proxies()];
        }

        @Override
        public void join(int stream, InboundMessage.Subscribe joining) {
            if (exchange != null) {
                streams[joining.proxy()] =
                        new InProcessStream(this, joining.proxy(), stream, exchange.nextStreamNumber());
                say(joining.proxy(), joining);
            }
        }

        @Override
        public void leave(int proxy) {
            if (exchange != null && streams[proxy] != null) {
                exchange.enqueueStreamClosed(streams[proxy]);
            }
            streams[proxy] = null;
        }

        @Override
        public void say(int proxy, InboundMessage what) {
            if (exchange != null && streams[proxy] != null) {
                traffic.messagesIn.increment();
                exchange.enqueueMessage(streams[proxy], what);
            }
        }

        @Override
        public void report(InboundMessage.LoadReport sums) {
            if (exchange != null) {
                traffic.messagesIn.increment();
                exchange.enqueueMessage(null, sums);
            }
        }

        /** Messages, and bytes from the steward; what is said to it is not encoded and has no bytes. */
        public Traffic traffic() {
            return traffic;
        }

        public SimulatedFleet fleet() {
            return fleet;
        }

        /** All proxies leave and join again. */
        public void rejoinAll() {
            tasks.add(() -> fleet.rejoinAll(now()));
        }

        /** Nothing is said any more, and the steward is let go. */
        public void end() {
            tasks.add(() -> {
                fleet.stop();
                exchange = null;
            });
        }
    }

    /** Where a hollow steward writes its orders. They are encoded as by a real one, and then handed over. */
    private final class InProcessStream implements ProxyStream {
        private final Connection of;
        private final int proxy;
        private final int fleetsNumber;
        private final long number;

        InProcessStream(Connection of, int proxy, int fleetsNumber, long number) {
            this.of = of;
            this.proxy = proxy;
            this.fleetsNumber = fleetsNumber;
            this.number = number;
        }

        @Override
        public void write(ConfigurationUpdate order) {
            of.traffic.bytesOut.add(of.codec.encode(order).length);
            of.traffic.messagesOut.increment();
            tasks.add(() -> of.fleet.ordered(proxy, fleetsNumber, order, now()));
        }

        @Override
        public void close(String why) {
            tasks.add(() -> of.fleet.lost(proxy, fleetsNumber, now()));
        }

        @Override
        public long number() {
            return number;
        }
    }

    public void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Has a fleet join through that exchange. */
    public Connection join(SimulatedFleet fleet, Codec codec, EventQueue exchange) {
        Connection connection = new Connection(fleet, codec, exchange);
        tasks.add(() -> {
            fleets.add(fleet);
            fleet.start(connection, now());
        });
        return connection;
    }

    private void run() {
        while (!closed) {
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
            double now = now();
            fleets.forEach(f -> f.advance(now));
            LockSupport.parkNanos(TICK_NS);
        }
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
