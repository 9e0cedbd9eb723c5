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
 * The sessions of all proxies by proxy id, and the sessions that are due an update. A proxy that reconnects before the controller
 * sees the end of its old stream has two open streams; the stream that was opened later is its current one. Owned by the control
 * loop's thread.
 */
final class ProxySessions {
    private final List<ProxySession> sessions = new ArrayList<>();
    /** Sessions in the order of the planner's commands. */
    private final Set<ProxySession> sessionsDue = new LinkedHashSet<>();

    private final Log log;

    ProxySessions(int proxyCount, int operationCount, Log log) {
        this.log = log;
        for (int id = 0; id < proxyCount; id++) {
            sessions.add(new ProxySession(id, operationCount));
        }
    }

    ProxySession get(int proxy) {
        return sessions.get(proxy);
    }

    Stream<ProxySession> stream() {
        return sessions.stream();
    }

    /** Whether the proxy's current stream was opened after the given stream. */
    boolean hasNewerStream(int proxy, ProxyStream stream) {
        ProxyStream current = get(proxy).stream();
        return current != null && current.streamNumber() > stream.streamNumber();
    }

    /** Returns the proxy whose current stream this is, or empty for a collector's stream and for a replaced stream. */
    OptionalInt findProxy(ProxyStream stream) {
        return sessions.stream()
                .filter(session -> stream != null && session.usesStream(stream))
                .mapToInt(ProxySession::id)
                .findFirst();
    }

    /** Makes this stream the proxy's current stream after a subscription, and closes a different previous stream. */
    void connect(int proxy, ProxyStream stream, boolean isNew) {
        ProxyStream previousStream = get(proxy).stream();
        disconnect(proxy);
        get(proxy).connect(stream, isNew, previousStream);
        if (previousStream != null && previousStream != stream) {
            close(previousStream, "replaced by a newer stream of the same proxy");
        }
    }

    void disconnect(int proxy) {
        get(proxy).disconnect();
        sessionsDue.remove(get(proxy));
    }

    /** Closes a stream and logs a failure to close it, so that the control loop continues to serve other proxies. */
    void close(ProxyStream stream, String reason) {
        try {
            stream.close(reason);
        } catch (RuntimeException failure) {
            log.error("fault", "closing the stream of a proxy failed: " + failure);
        }
    }

    void markUpdateDue(ProxySession session) {
        sessionsDue.add(session);
    }

    void markUpdateDue(Predicate<ProxySession> isAffected) {
        sessions.stream().filter(isAffected).forEach(sessionsDue::add);
    }

    boolean isUpdateDue(ProxySession session) {
        return sessionsDue.contains(session);
    }

    /** Returns the sessions that are due an update, in the order of the planner's commands. */
    List<ProxySession> sessionsDue() {
        return List.copyOf(sessionsDue);
    }

    void markAllUpdated() {
        sessions.forEach(ProxySession::clearNewlyBound);
        sessionsDue.clear();
    }

    /** Forgets a removed host in the ejection records of all proxies, because its id may be reused. */
    void forgetHost(int host, int hostIdLimit) {
        sessions.forEach(session -> session.ejections().forget(host, hostIdLimit));
    }
}
