package linenring.planner;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Predicate;

/**
 * The hosts, proxies and zones by their ids, and the proxies that have joined. Each object is created when its id
 * is first used.
 */
final class Fleet {
    private final List<Host> hosts = new ArrayList<>();
    private final List<Zone> zones = new ArrayList<>();
    private final List<ProxyState> proxies = new ArrayList<>();
    private final List<ProxyState> joinedProxies = new ArrayList<>();

    Host host(int id) {
        return getOrCreate(hosts, id, Host::new);
    }

    ProxyState proxy(int id) {
        return getOrCreate(proxies, id, ProxyState::new);
    }

    Zone zone(int id) {
        return getOrCreate(zones, id, Zone::new);
    }

    /** All hosts by their ids, as a live view; a released id has a placeholder. */
    List<Host> hosts() {
        return Collections.unmodifiableList(hosts);
    }

    List<Zone> zones() {
        return Collections.unmodifiableList(zones);
    }

    /** Proxies that have joined, in descending order of their usual request rate, as a live view. */
    List<ProxyState> joinedProxies() {
        return Collections.unmodifiableList(joinedProxies);
    }

    /** Whether a host with this id exists and has not been released. */
    boolean hasHost(int id) {
        return id < hosts.size() && !hosts.get(id).isReleased();
    }

    /** Whether the host with this id is drained or removed and the proxies were notified of it. */
    boolean isRemoved(int id) {
        return hasHost(id) && !hosts.get(id).isRunning() && !hosts.get(id).mustDrain();
    }

    /** Replaces the host with this id by a placeholder and returns the replaced host. */
    Host release(int id) {
        return hosts.set(id, Host.released(id));
    }

    /**
     * Applies the action to each host that satisfies the condition at its turn; returns whether there was any such
     * host.
     */
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
        int position = 0;
        while (position < joinedProxies.size()
                && joinedProxies.get(position).usualRequestsPerSecond() >= proxy.usualRequestsPerSecond()) {
            position++;
        }
        joinedProxies.add(position, proxy);
    }

    void leave(ProxyState proxy) {
        proxy.disconnect();
        joinedProxies.remove(proxy);
    }

    boolean hasProxyAwaitingFirstBind() {
        return joinedProxies.stream().anyMatch(ProxyState::isAwaitingFirstBind);
    }

    private static <T> T getOrCreate(List<T> list, int index, IntFunction<T> create) {
        while (list.size() <= index) {
            list.add(create.apply(list.size()));
        }
        return list.get(index);
    }
}
