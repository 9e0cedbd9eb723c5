package linenring.scale.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * What happens to the catalogue as time passes, without I/O: steady churn and replacements, and events at set times. The
 * clock (Unix ms) is handed in with each call, chance at the start. Not safe for several threads.
 */
public final class CatalogueEvents {
    /** A host that restarts is listed as terminating for so long; one that is replaced as well. */
    private static final long DRAIN_MS = 1000;

    /** Something due at a time. */
    private record Due(long at, long order, Event event) {}

    /** Changes the catalogue at its time; null where nothing is left to change. */
    private interface Event {
        CatalogueChange happen(long now);
    }

    private final Catalogue catalogue;
    private final RandomGenerator chance;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final List<String> ids = new ArrayList<>(); // those that churn may take
    private long orders;
    private boolean steady = true;

    public CatalogueEvents(Catalogue catalogue, RandomGenerator chance) {
        this.catalogue = catalogue;
        this.chance = chance;
        catalogue.hosts(CatalogueHost::isReady).forEach(h -> ids.add(h.id()));
    }

    /** When the next event is due; {@link Long#MAX_VALUE} where none is. */
    public long nextAt() {
        return due.isEmpty() ? Long.MAX_VALUE : due.peek().at();
    }

    /** Lets all happen that is due; the changes in their order. */
    public List<CatalogueChange> advance(long now) {
        List<CatalogueChange> happened = new ArrayList<>();
        while (nextAt() <= now) {
            Due next = due.poll();
            CatalogueChange change = next.event().happen(next.at());
            if (change != null) {
                happened.add(change);
            }
        }
        return happened;
    }

    private void at(long when, Event event) {
        due.add(new Due(when, orders++, event));
    }

    // ---- steady rates

    /** From then on so many entries change a second: single hosts drain and start again, which is two changes. */
    public void churn(long from, double changesPerSecond) {
        repeat(from, changesPerSecond / 2, this::restartOne);
    }

    /** From then on so many hosts a second are replaced: the old one drains and is gone, a new one starts in its place. */
    public void replaceSteadily(long from, double hostsPerSecond) {
        repeat(from, hostsPerSecond, this::replaceOne);
    }

    /** No host begins to restart or to be replaced any more; those that have begun end. */
    public void endSteadyRates() {
        steady = false;
    }

    private void repeat(long from, double perSecond, Event event) {
        if (perSecond > 0) {
            at(from, now -> {
                if (!steady) {
                    return null;
                }
                repeat(now + Math.max(1, Math.round(1000 / perSecond)), perSecond, event);
                return event.happen(now);
            });
        }
    }

    private CatalogueChange restartOne(long now) {
        CatalogueHost host = pick();
        if (host == null) {
            return null;
        }
        at(now + DRAIN_MS, later -> catalogue.start(List.of(host), later));
        return catalogue.terminate(List.of(host));
    }

    private CatalogueChange replaceOne(long now) {
        CatalogueHost host = pick();
        if (host == null) {
            return null;
        }
        at(now + DRAIN_MS, later -> {
            CatalogueChange change = catalogue.replace(List.of(host), later);
            ids.set(ids.indexOf(host.id()), change.hosts().get(1).id());
            return change;
        });
        return catalogue.terminate(List.of(host));
    }

    /** A host that is ready; null where none was found in some tries. */
    private CatalogueHost pick() {
        for (int tries = 0; tries < 16 && !ids.isEmpty(); tries++) {
            CatalogueHost host = catalogue.find(ids.get(chance.nextInt(ids.size())));
            if (host != null && host.isReady()) {
                return host;
            }
        }
        return null;
    }

    // ---- single events

    /** These hosts are replaced by others at once. */
    public void replaceAll(long when, List<CatalogueHost> which) {
        at(when, now -> which.isEmpty() ? null : catalogue.replace(which, now));
    }

    /** All hosts of one zone's rack are gone. */
    public void loseRack(long when, int zone, int rack) {
        at(when, now -> removeAll(catalogue.hosts(h -> h.zone() == zone && h.rack() == rack)));
    }

    /** All hosts of a zone are gone, and start again together so long after. */
    public void loseZone(long when, int zone, long forMs) {
        at(when, now -> {
            List<CatalogueHost> lost = catalogue.hosts(h -> h.zone() == zone);
            at(now + forMs, later -> lost.isEmpty() ? null : catalogue.start(lost, later));
            return removeAll(lost);
        });
    }

    /** Hosts restart one after the other, so many at a time, as a release does. */
    public void rollingRestart(long when, List<CatalogueHost> which, int atATime, long everyMs) {
        for (int from = 0; from < which.size(); from += atATime) {
            List<CatalogueHost> some = which.subList(from, Math.min(which.size(), from + atATime));
            long begins = when + from / atATime * everyMs;
            at(begins, now -> catalogue.terminate(some));
            at(begins + DRAIN_MS, now -> catalogue.start(some, now));
        }
    }

    private CatalogueChange removeAll(List<CatalogueHost> hosts) {
        return hosts.isEmpty() ? null : catalogue.remove(hosts);
    }
}
