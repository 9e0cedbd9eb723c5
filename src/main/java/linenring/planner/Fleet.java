package linenring.planner;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Predicate;

/** The hosts, proxies and zones by their ids, and the proxies that are joined. Each is created when its id is first named. */
final class Fleet {
    private final List<Host> hosts = new ArrayList<>();
    private final List<Zone> zones = new ArrayList<>();
    private final List<ProxyState> proxies = new ArrayList<>();
    private final List<ProxyState> joined = new ArrayList<>();

    Host host(int id) {
        return grown(hosts, id, Host::new);
    }

    ProxyState proxy(int id) {
        return grown(proxies, id, ProxyState::new);
    }

    Zone zone(int id) {
        return grown(zones, id, Zone::new);
    }

    /** All hosts by their id, released places included; a live view. */
    List<Host> hosts() {
        return Collections.unmodifiableList(hosts);
    }

    List<Zone> zones() {
        return Collections.unmodifiableList(zones);
    }

    /** Joined proxies, those of most requests first; a live view. */
    List<ProxyState> joined() {
        return Collections.unmodifiableList(joined);
    }

    /** Whether a host has this id. */
    boolean isKnown(int id) {
        return id < hosts.size() && !hosts.get(id).isReleased();
    }

    /** Whether the host is gone and proxies were notified of it. */
    boolean isRemoved(int id) {
        return isKnown(id) && !hosts.get(id).isRunning() && !hosts.get(id).mustDrain();
    }

    /** Forgets the host with this id; that host. */
    Host release(int id) {
        return hosts.set(id, Host.released(id));
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

    void join(ProxyState proxy) {
        int place = 0;
        while (place < joined.size() && joined.get(place).usualRequestsPerSecond() >= proxy.usualRequestsPerSecond()) {
            place++;
        }
        joined.add(place, proxy);
    }

    void leave(ProxyState proxy) {
        proxy.disconnect();
        joined.remove(proxy);
    }

    boolean hasNewcomer() {
        return joined.stream().anyMatch(ProxyState::isNewcomer);
    }

    private static <T> T grown(List<T> list, int index, IntFunction<T> create) {
        while (list.size() <= index) {
            list.add(create.apply(list.size()));
        }
        return list.get(index);
    }
}
