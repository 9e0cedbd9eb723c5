package linenring.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Predicate;

/** The hosts, proxies and zones by their ids, and the proxies that are joined. Each comes to be when its id is first named. */
final class Fleet {
    final List<Host> hosts = new ArrayList<>();
    final List<Zone> zones = new ArrayList<>();
    /** Those of most requests first. */
    final List<Proxy> joined = new ArrayList<>();
    /** Sums of the warm hosts that are in, by their kind. */
    final List<Outcomes> outcomesByKind = new ArrayList<>();

    private final List<Proxy> proxies = new ArrayList<>();

    Host host(int id) {
        return grown(hosts, id, Host::new);
    }

    Proxy proxy(int id) {
        return grown(proxies, id, Proxy::new);
    }

    Zone zone(int id) {
        return grown(zones, id, index -> new Zone());
    }

    Outcomes ofKind(int kind) {
        return grown(outcomesByKind, kind, index -> new Outcomes());
    }

    /** Whether a host has this id. */
    boolean isKnown(int id) {
        return id < hosts.size() && !hosts.get(id).released;
    }

    /** Whether the host is gone and proxies were told so. */
    boolean isRemoved(int id) {
        return isKnown(id) && !hosts.get(id).running && !hosts.get(id).mustDrain();
    }

    /** Puts a blank in the host's place; the host. */
    Host release(int id) {
        Host blank = new Host(id);
        blank.released = true;
        return hosts.set(id, blank);
    }

    /** Acts on each host for which the condition holds when its turn comes; whether there was one. */
    boolean forEachHost(Predicate<Host> condition, Consumer<Host> action) {
        boolean any = false;
        for (Host host : hosts) {
            if (condition.test(host)) {
                action.accept(host);
                any = true;
            }
        }
        return any;
    }

    void join(Proxy proxy) {
        int place = 0;
        while (place < joined.size() && joined.get(place).usualRate >= proxy.usualRate) {
            place++;
        }
        joined.add(place, proxy);
    }

    private static <T> T grown(List<T> list, int index, IntFunction<T> create) {
        while (list.size() <= index) {
            list.add(create.apply(list.size()));
        }
        return list.get(index);
    }
}
