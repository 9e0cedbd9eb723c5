package linenring.scale.run;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import linenring.routing.HostRegistry;
import linenring.scale.catalogue.Catalogue;
import linenring.scale.catalogue.CatalogueChange;
import linenring.scale.catalogue.CatalogueEvents;
import linenring.scale.catalogue.CatalogueServer;

/** Lets the catalogue's events happen in time and tells them: first to the hollow proxies' hosts, then to all watchers. */
final class CatalogueDriver implements AutoCloseable {
    private static final long TICK_NS = 10_000_000;

    private final CatalogueEvents events;
    private final HostRegistry hosts;
    private final List<CatalogueServer> servers = new CopyOnWriteArrayList<>();
    private final Thread thread = new Thread(this::run, "catalogue-events");
    private volatile long hostsChanged;
    private volatile long lastChangeNanos = System.nanoTime();
    private volatile boolean closed;

    CatalogueDriver(Catalogue catalogue, HostRegistry hosts, long seed) {
        this.hosts = hosts;
        events = new CatalogueEvents(catalogue, new Random(seed));
        hosts.apply(catalogue.snapshot().asHostList());
        thread.setDaemon(true);
    }

    void tells(CatalogueServer server) {
        servers.add(server);
    }

    void start() {
        thread.start();
    }

    /** Changes what is to happen; the time handed in is now, Unix ms. */
    void script(Consumer<CatalogueEvents> change) {
        synchronized (events) {
            change.accept(events);
        }
    }

    private void run() {
        while (!closed) {
            synchronized (events) {
                events.advance(System.currentTimeMillis()).forEach(this::tell);
            }
            LockSupport.parkNanos(TICK_NS);
        }
    }

    private void tell(CatalogueChange change) {
        hosts.apply(change.asHostList());
        servers.forEach(s -> s.publish(change));
        hostsChanged += change.hosts().size();
        lastChangeNanos = System.nanoTime();
    }

    /** Whether something is due still. */
    boolean isBusy() {
        synchronized (events) {
            return events.nextTimeMs() != Long.MAX_VALUE;
        }
    }

    /** Entries that have changed since the start. */
    long hostsChanged() {
        return hostsChanged;
    }

    /** When the last change was told, by {@link System#nanoTime}. */
    long lastChangeNanos() {
        return lastChangeNanos;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
