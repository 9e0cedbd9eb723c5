package linenring.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * A drain of all client sessions, RFC 9113 6.8: first a GOAWAY that takes nothing back, so that what is on its way is
 * still accepted, and behind it a PING; once the client has answered that, it has seen both, and one follows that names the
 * last accepted stream; what comes after that is refused as not processed. Over when no accepted stream runs, or at the bound. {@code S} names a session.
 */
final class Drain<S> {
    /** A round trip inside one network, many times over; clients' own connections are as near. */
    static final double ON_ITS_WAY_MS = 200;

    /** The last stream of this session was told before. */
    static final int NAMED = -1;

    /** Where it stands. */
    enum Stage {
        SERVING,
        ANNOUNCED,
        LAST_NAMED,
        OVER
    }

    private static final class Of {
        int last; // the highest stream that was accepted
        int running;
        boolean asked; // a PING stands behind the first GOAWAY, and no answer has come
        boolean named; // the last one was told to the client
        boolean late; // it came during the drain: none of its streams is accepted
    }

    private final double bound;
    private final Map<S, Of> sessions = new HashMap<>();
    private Stage stage = Stage.SERVING;
    private double since, last;
    private int finished, refused;

    Drain(double bound) {
        this.bound = bound;
    }

    /** A session is there; false if it comes too late and is to be told so. */
    synchronized boolean opened(S session) {
        Of of = new Of();
        of.late = stage != Stage.SERVING;
        sessions.put(session, of);
        return !of.late;
    }

    /** Whether the session came during the drain. */
    synchronized boolean isLate(S session) {
        Of of = sessions.get(session);
        return of != null && of.late;
    }

    synchronized void closed(S session) {
        sessions.remove(session);
    }

    /** A stream has come; false: refuse it as not processed. */
    synchronized boolean accepts(S session, int stream) {
        Of of = sessions.get(session);
        if (of == null || of.late || of.named || stage == Stage.OVER) {
            refused++;
            return false;
        }
        of.last = Math.max(of.last, stream);
        of.running++;
        return true;
    }

    synchronized void done(S session) {
        Of of = sessions.get(session);
        if (of != null) {
            of.running--;
        }
        finished += stage == Stage.SERVING ? 0 : 1;
    }

    /** Begins; false if it had begun. */
    synchronized boolean begin(double now) {
        if (stage != Stage.SERVING) {
            return false;
        }
        stage = Stage.ANNOUNCED;
        since = last = now;
        return true;
    }

    /** The session's client was sent a PING behind the first GOAWAY. */
    synchronized void asked(S session) {
        Of of = sessions.get(session);
        if (of != null) {
            of.asked = true;
        }
    }

    /** It has answered: what it sent before it knew is here. */
    synchronized void heard(S session) {
        Of of = sessions.get(session);
        if (of != null) {
            of.asked = false;
        }
    }

    /** Whether its client may still send by what it knew before; who answers no PING is waited for half of the bound. */
    private boolean mayNotKnow(Of of) {
        return of.asked && !of.named && last - since < bound / 2;
    }

    /** Serves again; sessions whose last stream was told go on refusing later ones. */
    synchronized void resume() {
        sessions.values().forEach(of -> of.asked = of.late = false);
        stage = Stage.SERVING;
    }

    /** Moves on with time and with what has finished. */
    synchronized Stage step(double now) {
        last = now;
        if (stage == Stage.ANNOUNCED && now - since >= ON_ITS_WAY_MS) {
            stage = Stage.LAST_NAMED;
        }
        boolean done = running() == 0 && sessions.values().stream().noneMatch(this::mayNotKnow);
        if (stage == Stage.LAST_NAMED && (done || now - since >= bound)
                || stage == Stage.ANNOUNCED && now - since >= bound) {
            stage = Stage.OVER;
        }
        return stage;
    }

    /**
     * The last accepted stream of a session, which is told to its client now, once: later ones are refused. {@link #NAMED}
     * also while its client may not know yet, and for a late one, which is closed by itself.
     */
    synchronized int nameLast(S session) {
        Of of = sessions.get(session);
        if (of == null || of.late || of.named || mayNotKnow(of)) {
            return NAMED;
        }
        of.named = true;
        return of.last;
    }

    synchronized boolean isIdle(S session) {
        Of of = sessions.get(session);
        return of == null || of.running == 0;
    }

    synchronized Stage stage() {
        return stage;
    }

    synchronized int running() {
        return sessions.values().stream().mapToInt(of -> of.running).sum();
    }

    synchronized int finished() {
        return finished;
    }

    synchronized int refused() {
        return refused;
    }
}
