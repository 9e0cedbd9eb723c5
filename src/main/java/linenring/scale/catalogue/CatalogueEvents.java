package linenring.scale.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Schedules changes of the catalogue, without I/O: churn and replacements at steady rates, and single events at given times.
 * Callers pass the time in milliseconds of Unix time, and the source of random numbers. Not thread-safe.
 */
public final class CatalogueEvents {
    /** Time for which a host is listed as terminating before it restarts or is replaced. */
    private static final long DRAIN_MS = 1000;

    private static final int MAX_PICKS = 16;
    private static final double SECOND_MS = 1000;

    /** A scheduled event; {@code sequence} orders events that have the same time. */
    private record ScheduledEvent(long timeMs, long sequence, Event event) {}

    /** Changes the catalogue and returns the change, or null if no host was changed. */
    private interface Event {
        CatalogueChange apply(long nowMs);
    }

    private final Catalogue catalogue;
    private final RandomGenerator random;
    private final PriorityQueue<ScheduledEvent> schedule = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::timeMs).thenComparingLong(ScheduledEvent::sequence));
    private final List<String> replaceableHostIds =
            new ArrayList<>(); // ids of the hosts that may restart or be replaced
    private long nextSequence;
    private boolean isSteadyRateActive = true;

    /** Creates an empty schedule for the catalogue. */
    public CatalogueEvents(Catalogue catalogue, RandomGenerator random) {
        this.catalogue = catalogue;
        this.random = random;
        catalogue.hosts(CatalogueHost::isReady).forEach(host -> replaceableHostIds.add(host.id()));
    }

    /** Returns the time of the next event, or {@link Long#MAX_VALUE} if no event is scheduled. */
    public long nextTimeMs() {
        return schedule.isEmpty() ? Long.MAX_VALUE : schedule.peek().timeMs();
    }

    /** Applies all events that are due, and returns their changes in order. */
    public List<CatalogueChange> advance(long nowMs) {
        List<CatalogueChange> changes = new ArrayList<>();
        while (nextTimeMs() <= nowMs) {
            ScheduledEvent next = schedule.poll();
            CatalogueChange change = next.event().apply(next.timeMs());
            if (change != null) {
                changes.add(change);
            }
        }
        return changes;
    }

    private void schedule(long timeMs, Event event) {
        schedule.add(new ScheduledEvent(timeMs, nextSequence++, event));
    }

    // ---- events at steady rates

    /** Restarts single hosts at a steady rate from {@code fromMs} on; a restart is two changes: the drain and the start. */
    public void churn(long fromMs, double changesPerSecond) {
        scheduleRepeatedly(fromMs, changesPerSecond / 2, this::restartRandomHost);
    }

    /** Replaces hosts at a steady rate from {@code fromMs} on: a host drains and is removed, and a new host takes its place. */
    public void replaceSteadily(long fromMs, double hostsPerSecond) {
        scheduleRepeatedly(fromMs, hostsPerSecond, this::replaceRandomHost);
    }

    /** Stops churn and replacements; restarts and replacements in progress are completed. */
    public void endSteadyRates() {
        isSteadyRateActive = false;
    }

    private void scheduleRepeatedly(long fromMs, double perSecond, Event event) {
        if (perSecond > 0) {
            schedule(fromMs, now -> {
                if (!isSteadyRateActive) {
                    return null;
                }
                scheduleRepeatedly(now + Math.max(1, Math.round(SECOND_MS / perSecond)), perSecond, event);
                return event.apply(now);
            });
        }
    }

    private CatalogueChange restartRandomHost(long now) {
        CatalogueHost host = pickReadyHost();
        if (host == null) {
            return null;
        }
        schedule(now + DRAIN_MS, later -> catalogue.start(List.of(host), later));
        return catalogue.terminate(List.of(host));
    }

    private CatalogueChange replaceRandomHost(long now) {
        CatalogueHost host = pickReadyHost();
        if (host == null) {
            return null;
        }
        schedule(now + DRAIN_MS, later -> {
            CatalogueChange change = catalogue.replace(List.of(host), later);
            replaceableHostIds.set(
                    replaceableHostIds.indexOf(host.id()), change.hosts().get(1).id());
            return change;
        });
        return catalogue.terminate(List.of(host));
    }

    /** Returns a random ready host, or null if {@link #MAX_PICKS} random picks found none. */
    private CatalogueHost pickReadyHost() {
        for (int i = 0; i < MAX_PICKS && !replaceableHostIds.isEmpty(); i++) {
            CatalogueHost host = catalogue.find(replaceableHostIds.get(random.nextInt(replaceableHostIds.size())));
            if (host != null && host.isReady()) {
                return host;
            }
        }
        return null;
    }

    // ---- single events

    /** Replaces all given hosts at the same time. */
    public void replaceAll(long timeMs, List<CatalogueHost> replaced) {
        schedule(timeMs, now -> replaced.isEmpty() ? null : catalogue.replace(replaced, now));
    }

    /** Removes all hosts of a rack of the zone. */
    public void loseRack(long timeMs, int zone, int rack) {
        schedule(timeMs, now -> removeAll(catalogue.hosts(host -> host.zone() == zone && host.rack() == rack)));
    }

    /** Removes all hosts of a zone, and starts them again together after {@code durationMs}. */
    public void loseZone(long timeMs, int zone, long durationMs) {
        schedule(timeMs, now -> {
            List<CatalogueHost> lost = catalogue.hosts(host -> host.zone() == zone);
            schedule(now + durationMs, later -> lost.isEmpty() ? null : catalogue.start(lost, later));
            return removeAll(lost);
        });
    }

    /** Restarts the hosts in steps of {@code stepHosts} hosts every {@code intervalMs}, like a rolling release. */
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
