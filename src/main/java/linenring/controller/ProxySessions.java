package linenring.controller;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import linenring.event.ProxyStream;
import linenring.log.Log;

/**
 * The sessions of all proxies by their ids, and those for which an update is due. A proxy that dials again before the end of its
 * old stream is seen has two streams for a while: the one that was opened later counts. Owned by the control loop's thread.
 */
final class ProxySessions {
    private final List<ProxySession> sessions = new ArrayList<>();
    private final Set<ProxySession> updateDue = new LinkedHashSet<>(); // in the order in which the planner named them
    private final Log log;

    ProxySessions(int proxies, int operations, Log log) {
        this.log = log;
        for (int id = 0; id < proxies; id++) {
            sessions.add(new ProxySession(id, operations));
        }
    }

    ProxySession get(int proxy) {
        return sessions.get(proxy);
    }

    Stream<ProxySession> stream() {
        return sessions.stream();
    }

    // ---- streams

    /** Whether the proxy has a stream that was opened after this one. */
    boolean hasNewer(int proxy, ProxyStream stream) {
        ProxyStream current = get(proxy).stream();
        return current != null && current.number() > stream.number();
    }

    /** The proxy whose current stream this is; empty for that of a collector and for one that has been replaced. */
    OptionalInt find(ProxyStream stream) {
        return sessions.stream()
                .filter(session -> stream != null && session.isOn(stream))
                .mapToInt(ProxySession::id)
                .findFirst();
    }

    /** The proxy has subscribed on this stream; another that it had is closed. */
    void connect(int proxy, ProxyStream stream, boolean isNew) {
        ProxyStream previous = get(proxy).stream();
        disconnect(proxy);
        get(proxy).connect(stream, isNew, previous);
        if (previous != null && previous != stream) {
            close(previous, "has a newer stream");
        }
    }

    void disconnect(int proxy) {
        get(proxy).disconnect();
        updateDue.remove(get(proxy));
    }

    /** Closes a stream; a failure to do so must not keep the loop from serving the others. */
    void close(ProxyStream stream, String reason) {
        try {
            stream.close(reason);
        } catch (RuntimeException failure) {
            log.error("fault", "a stream can't be closed: " + failure);
        }
    }

    // ---- updates

    void markUpdateDue(ProxySession session) {
        updateDue.add(session);
    }

    void markUpdateDue(Predicate<ProxySession> isConcerned) {
        sessions.stream().filter(isConcerned).forEach(updateDue::add);
    }

    boolean isUpdateDue(ProxySession session) {
        return updateDue.contains(session);
    }

    /** Those for which an update is due, in the order in which the planner named them. */
    List<ProxySession> updateDue() {
        return List.copyOf(updateDue);
    }

    void markUpdated() {
        sessions.forEach(ProxySession::clearNewlyBound);
        updateDue.clear();
    }

    /** Forgets a removed host, whose id may become another's. */
    void forgetHost(int host, int hostIds) {
        sessions.forEach(session -> session.ejections().forget(host, hostIds));
    }
}
