package linenring.scale.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Changes the catalogue as time passes, without I/O: steady churn and replacements, and events at set times. The time (Unix
 * ms) is handed in with each call, the random numbers at the start. Not thread-safe.
 */
public final class CatalogueEvents {
    /** How long a host that restarts or is replaced is listed as terminating. */
    private static final long DRAIN_MS = 1000;

    private static final int MAX_PICKS = 16;
    private static final double SECOND_MS = 1000;

    /** An event and its time; {@code sequence} orders events of one time. */
    private record Due(long timeMs, long sequence, Event event) {}

    /** Changes the catalogue at its time; null if there is nothing left to change. */
    private interface Event {
        CatalogueChange apply(long nowMs);
    }

    private final Catalogue catalogue;
    private final RandomGenerator random;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::timeMs).thenComparingLong(Due::sequence));
    private final List<String> ids = new ArrayList<>(); // those that churn may take
    private long nextSequence;
    private boolean steady = true;

    /** Events of this catalogue; nothing happens until some are ordered. */
    public CatalogueEvents(Catalogue catalogue, RandomGenerator random) {
        this.catalogue = catalogue;
        this.random = random;
        catalogue.hosts(CatalogueHost::isReady).forEach(host -> ids.add(host.id()));
    }

    /** When the next event is due, Unix ms; {@link Long#MAX_VALUE} if none is. */
    public long nextTimeMs() {
        return due.isEmpty() ? Long.MAX_VALUE : due.peek().timeMs();
    }

    /** Applies all events that are due; returns the changes in their order. */
    public List<CatalogueChange> advance(long nowMs) {
        List<CatalogueChange> changes = new ArrayList<>();
        while (nextTimeMs() <= nowMs) {
            Due next = due.poll();
            CatalogueChange change = next.event().apply(next.timeMs());
            if (change != null) {
                changes.add(change);
            }
        }
        return changes;
    }

    private void schedule(long timeMs, Event event) {
        due.add(new Due(timeMs, nextSequence++, event));
    }

    // ---- steady rates

    /** From then on that many entries change a second: single hosts drain and start again, which is two changes. */
    public void churn(long fromMs, double changesPerSecond) {
        repeat(fromMs, changesPerSecond / 2, this::restartOne);
    }

    /** From then on that many hosts a second are replaced: the old one drains and is gone, a new one starts in its place. */
    public void replaceSteadily(long fromMs, double hostsPerSecond) {
        repeat(fromMs, hostsPerSecond, this::replaceOne);
    }

    /** No host begins to restart or to be replaced any more; those that have begun end. */
    public void endSteadyRates() {
        steady = false;
    }

    private void repeat(long fromMs, double perSecond, Event event) {
        if (perSecond > 0) {
            schedule(fromMs, now -> {
                if (!steady) {
                    return null;
                }
                repeat(now + Math.max(1, Math.round(SECOND_MS / perSecond)), perSecond, event);
                return event.apply(now);
            });
        }
    }

    private CatalogueChange restartOne(long now) {
        CatalogueHost host = pick();
        if (host == null) {
            return null;
        }
        schedule(now + DRAIN_MS, later -> catalogue.start(List.of(host), later));
        return catalogue.terminate(List.of(host));
    }

    private CatalogueChange replaceOne(long now) {
        CatalogueHost host = pick();
        if (host == null) {
            return null;
        }
        schedule(now + DRAIN_MS, later -> {
            CatalogueChange change = catalogue.replace(List.of(host), later);
            ids.set(ids.indexOf(host.id()), change.hosts().get(1).id());
            return change;
        });
        return catalogue.terminate(List.of(host));
    }

    /** A random host that is ready; null if none was found in {@link #MAX_PICKS} attempts. */
    private CatalogueHost pick() {
        for (int i = 0; i < MAX_PICKS && !ids.isEmpty(); i++) {
            CatalogueHost host = catalogue.find(ids.get(random.nextInt(ids.size())));
            if (host != null && host.isReady()) {
                return host;
            }
        }
        return null;
    }

    // ---- single events

    /** These hosts are replaced by others at once. */
    public void replaceAll(long timeMs, List<CatalogueHost> replaced) {
        schedule(timeMs, now -> replaced.isEmpty() ? null : catalogue.replace(replaced, now));
    }

    /** All hosts of one zone's rack are gone. */
    public void loseRack(long timeMs, int zone, int rack) {
        schedule(timeMs, now -> removeAll(catalogue.hosts(host -> host.zone() == zone && host.rack() == rack)));
    }

    /** All hosts of a zone are gone, and start again together {@code durationMs} later. */
    public void loseZone(long timeMs, int zone, long durationMs) {
        schedule(timeMs, now -> {
            List<CatalogueHost> lost = catalogue.hosts(host -> host.zone() == zone);
            schedule(now + durationMs, later -> lost.isEmpty() ? null : catalogue.start(lost, later));
            return removeAll(lost);
        });
    }

    /** Hosts restart in steps of {@code stepHosts}, one step each {@code intervalMs}, as a release does. */
    public void rollingRestart(long timeMs, List<CatalogueHost> restarted, int stepHosts, long intervalMs) {
        for (int first = 0; first < restarted.size(); first += stepHosts) {
            List<CatalogueHost> step = restarted.subList(first, Math.min(restarted.size(), first + stepHosts));
            long stepMs = timeMs + first / stepHosts * intervalMs;
            schedule(stepMs, now -> catalogue.terminate(step));
            schedule(stepMs + DRAIN_MS, now -> catalogue.start(step, now));
        }
    }

    private CatalogueChange removeAll(List<CatalogueHost> hosts) {
        return hosts.isEmpty() ? null : catalogue.remove(hosts);
    }
}
