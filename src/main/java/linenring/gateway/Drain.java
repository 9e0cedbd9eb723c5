package linenring.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The decisions of a graceful shutdown of all client sessions (RFC 9113, 6.8). First comes a GOAWAY that takes nothing
 * back, so that what is on its way is still accepted, and behind it a PING. Once the client has answered that, it has
 * seen both, and a second GOAWAY names the last accepted stream; what comes after that is refused as not processed. The
 * drain is over when no accepted stream is active, or at its time limit. {@code S} names a session. Thread-safe.
 *
 * <p>It guards against requests that are lost because a client sends them before it has read of the shutdown; that shows
 * as streams refused at clients that did nothing wrong. A PING is answered behind everything that was sent before it, so
 * nothing can be on its way any more. It does harm where a client answers no PING: it is waited for half of the limit.
 */
final class Drain<S> {
    /** A round trip inside one network, many times over; clients' own connections are as near. */
    static final double MIN_ANNOUNCEMENT_MS = 200;

    /** No stream: the last one of a session is not to be named now. */
    static final int NOT_NOW = -1;

    /** Where the drain stands. */
    enum Stage {
        /** There is none. */
        SERVING,
        /** The first GOAWAY was sent. */
        ANNOUNCED,
        /** Sessions' last streams are named as soon as their clients know of the drain. */
        NAMING_LAST_STREAMS,
        /** Nothing is waited for any more. */
        OVER
    }

    private static final class SessionState {
        private int lastAcceptedStream;
        private int activeStreams;
        private boolean pingUnanswered; // the one behind the first GOAWAY
        private boolean lastStreamNamed;
        private boolean openedDuringDrain; // none of its streams is accepted
    }

    private final double maxDrainMs;
    // All below are guarded by this.
    private final Map<S, SessionState> sessions = new HashMap<>();
    private Stage stage = Stage.SERVING;
    private double begunAtMs;
    private double nowMs; // as of the latest step
    private int finished;
    private int refused;

    Drain(double maxDrainMs) {
        this.maxDrainMs = maxDrainMs;
    }

    /** A session is there; false if it comes too late, and its client is to be notified. */
    synchronized boolean sessionOpened(S session) {
        SessionState state = new SessionState();
        state.openedDuringDrain = stage != Stage.SERVING;
        sessions.put(session, state);
        return !state.openedDuringDrain;
    }

    synchronized boolean wasOpenedDuringDrain(S session) {
        SessionState state = sessions.get(session);
        return state != null && state.openedDuringDrain;
    }

    synchronized void sessionClosed(S session) {
        sessions.remove(session);
    }

    /** A stream has come; false: it is to be refused as not processed. */
    synchronized boolean acceptStream(S session, int streamId) {
        SessionState state = sessions.get(session);
        if (state == null || state.openedDuringDrain || state.lastStreamNamed || stage == Stage.OVER) {
            refused++;
            return false;
        }
        state.lastAcceptedStream = Math.max(state.lastAcceptedStream, streamId);
        state.activeStreams++;
        return true;
    }

    synchronized void streamClosed(S session) {
        SessionState state = sessions.get(session);
        if (state != null) {
            state.activeStreams--;
        }
        finished += stage == Stage.SERVING ? 0 : 1;
    }

    /** Begins; false if it had begun. */
    synchronized boolean begin(double beginMs) {
        if (stage != Stage.SERVING) {
            return false;
        }
        stage = Stage.ANNOUNCED;
        begunAtMs = beginMs;
        nowMs = beginMs;
        return true;
    }

    /** A PING is sent behind the first GOAWAY. */
    synchronized void pingSent(S session) {
        setPingUnanswered(session, true);
    }

    /** The client has answered the PING: what it sent before it knew is here. */
    synchronized void pingAnswered(S session) {
        setPingUnanswered(session, false);
    }

    private void setPingUnanswered(S session, boolean unanswered) {
        SessionState state = sessions.get(session);
        if (state != null) {
            state.pingUnanswered = unanswered;
        }
    }

    /** Whether the client may still send streams without knowing of the drain. */
    private boolean mayNotKnow(SessionState state) {
        return state.pingUnanswered && !state.lastStreamNamed && nowMs - begunAtMs < maxDrainMs / 2;
    }

    /** Serves again; sessions whose last stream was named go on refusing later ones. */
    synchronized void cancel() {
        for (SessionState state : sessions.values()) {
            state.pingUnanswered = false;
            state.openedDuringDrain = false;
        }
        stage = Stage.SERVING;
    }

    /** Moves on with time and with what has finished. */
    synchronized Stage advance(double stepMs) {
        nowMs = stepMs;
        double drainingMs = nowMs - begunAtMs;
        if (stage == Stage.ANNOUNCED && drainingMs >= MIN_ANNOUNCEMENT_MS) {
            stage = Stage.NAMING_LAST_STREAMS;
        }
        boolean done = activeStreams() == 0 && sessions.values().stream().noneMatch(this::mayNotKnow);
        boolean atLimit = drainingMs >= maxDrainMs;
        if ((stage == Stage.NAMING_LAST_STREAMS && (done || atLimit)) || (stage == Stage.ANNOUNCED && atLimit)) {
            stage = Stage.OVER;
        }
        return stage;
    }

    /**
     * The last accepted stream of a session, which its client is notified of now, once: later ones are refused. {@link #NOT_NOW}
     * while its client may not know of the drain, and for a session opened during it, which is closed by itself.
     */
    synchronized int nameLastStream(S session) {
        SessionState state = sessions.get(session);
        if (state == null || state.openedDuringDrain || state.lastStreamNamed || mayNotKnow(state)) {
            return NOT_NOW;
        }
        state.lastStreamNamed = true;
        return state.lastAcceptedStream;
    }

    synchronized boolean isIdle(S session) {
        SessionState state = sessions.get(session);
        return state == null || state.activeStreams == 0;
    }

    synchronized int activeStreams() {
        return sessions.values().stream().mapToInt(state -> state.activeStreams).sum();
    }

    /** Streams that ended during a drain. */
    synchronized int finished() {
        return finished;
    }

    /** Streams that were refused. */
    synchronized int refused() {
        return refused;
    }
}
