package linenring.scale.run;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import linenring.routing.HostRegistry;
import linenring.scale.catalogue.Catalogue;
import linenring.scale.catalogue.CatalogueChange;
import linenring.scale.catalogue.CatalogueEvents;
import linenring.scale.catalogue.CatalogueServer;

/**
 * Applies scheduled catalogue events when they are due. Each change is published first to the simulated proxies, then to all
 * watchers.
 */
final class CatalogueDriver implements AutoCloseable {
    private static final long TICK_NANOS = 10_000_000;
    private static final long STOP_TIMEOUT_MS = 1000;

    private final CatalogueEvents events;
    private final HostRegistry hostRegistry;
    private final List<CatalogueServer> servers = new CopyOnWriteArrayList<>();
    private final Thread thread = new Thread(this::run, "catalogue-events");
    private final AtomicLong changedEntries = new AtomicLong();
    private volatile long lastChangeNanos = System.nanoTime();
    private volatile boolean closed;

    CatalogueDriver(Catalogue catalogue, HostRegistry hostRegistry, long seed) {
        this.hostRegistry = hostRegistry;
        events = new CatalogueEvents(catalogue, new Random(seed));
        hostRegistry.apply(catalogue.snapshot().asHostList());
        thread.setDaemon(true);
    }

    void addServer(CatalogueServer server) {
        servers.add(server);
    }

    void start() {
        thread.start();
    }

    /** Schedules events under the lock that the driver thread uses. */
    void schedule(Consumer<CatalogueEvents> scheduling) {
        synchronized (events) {
            scheduling.accept(events);
        }
    }

    private void run() {
        while (!closed) {
            synchronized (events) {
                events.advance(System.currentTimeMillis()).forEach(this::publish);
            }
            LockSupport.parkNanos(TICK_NANOS);
        }
    }

    private void publish(CatalogueChange change) {
        hostRegistry.apply(change.asHostList());
        servers.forEach(server -> server.publish(change));
        changedEntries.addAndGet(change.hosts().size());
        lastChangeNanos = System.nanoTime();
    }

    /** Whether any scheduled event has not been applied yet. */
    boolean hasPendingEvents() {
        synchronized (events) {
            return events.nextTimeMs() != Long.MAX_VALUE;
        }
    }

    /** Returns the number of catalogue entries changed since the start. */
    long changedEntries() {
        return changedEntries.get();
    }

    /** Returns the time at which the last change was published, by {@link System#nanoTime}. */
    long lastChangeNanos() {
        return lastChangeNanos;
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
