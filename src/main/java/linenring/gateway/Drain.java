package linenring.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides the steps of a graceful shutdown of all client sessions (RFC 9113, 6.8). The first GOAWAY names the highest
 * possible stream, so that streams in transit are still accepted, and is followed by a PING. The answer to the PING proves
 * that the client has received both frames. A second, final GOAWAY then names the last accepted stream, and later streams
 * are refused as not processed. The drain is complete when no accepted stream is active, or at its time limit. The type
 * parameter {@code S} identifies a session. Thread-safe.
 *
 * <p>The PING guards against the refusal of streams that a client sent before it received the first GOAWAY: frames arrive
 * in order, so after the answer to the PING no such stream is in transit. A client that answers no PING delays the drain
 * by up to half of the time limit.
 */
final class Drain<S> {
    /** Minimum time between the two GOAWAY frames, many round trips of the network that clients and gateway share. */
    static final double MIN_ANNOUNCEMENT_MS = 200;

    /** Returned when no final GOAWAY is to be sent to a session now. */
    static final int NOT_DUE = -1;

    /** The stages of a drain, in order. */
    enum Stage {
        /** No drain is in progress. */
        SERVING,
        /** The first GOAWAY was sent to all sessions. */
        ANNOUNCED,
        /** Each session gets its final GOAWAY once its client has answered the PING. */
        SENDING_FINAL_GOAWAYS,
        /** All accepted streams have ended, or the time limit is reached. */
        COMPLETED
    }

    private static final class SessionState {
        private int lastAcceptedStream;
        private int activeStreams;
        private boolean isPingUnanswered; // the PING that follows the first GOAWAY
        private boolean hasBegunFinalGoAway;
        private boolean isOpenedDuringDrain; // no stream of such a session is accepted
    }

    private final double maxDrainMs;
    // The fields below are guarded by this.
    private final Map<S, SessionState> sessions = new HashMap<>();
    private Stage stage = Stage.SERVING;
    private double startedAtMs;
    private double nowMs; // time of the latest call of advance()
    private int finished;
    private int refused;

    Drain(double maxDrainMs) {
        this.maxDrainMs = maxDrainMs;
    }

    /** Adds a session; returns false during a drain, when the session's client has to be sent a GOAWAY. */
    synchronized boolean sessionOpened(S session) {
        SessionState state = new SessionState();
        state.isOpenedDuringDrain = stage != Stage.SERVING;
        sessions.put(session, state);
        return !state.isOpenedDuringDrain;
    }

    synchronized boolean wasOpenedDuringDrain(S session) {
        SessionState state = sessions.get(session);
        return state != null && state.isOpenedDuringDrain;
    }

    synchronized void sessionClosed(S session) {
        sessions.remove(session);
    }

    /** Accepts a new stream and returns true, or returns false if the stream is to be refused as not processed. */
    synchronized boolean acceptStream(S session, int streamId) {
        SessionState state = sessions.get(session);
        if (state == null || state.isOpenedDuringDrain || state.hasBegunFinalGoAway || stage == Stage.COMPLETED) {
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

    /** Begins a drain and returns true, or returns false if one is already in progress. */
    synchronized boolean begin(double startMs) {
        if (stage != Stage.SERVING) {
            return false;
        }
        stage = Stage.ANNOUNCED;
        startedAtMs = startMs;
        nowMs = startMs;
        return true;
    }

    /** Records that the PING after the first GOAWAY is sent. */
    synchronized void pingSent(S session) {
        setPingUnanswered(session, true);
    }

    /** Records the client's answer to the PING, which arrives after all streams sent without knowledge of the drain. */
    synchronized void pingAnswered(S session) {
        setPingUnanswered(session, false);
    }

    private void setPingUnanswered(S session, boolean isUnanswered) {
        SessionState state = sessions.get(session);
        if (state != null) {
            state.isPingUnanswered = isUnanswered;
        }
    }

    /** Whether the client may still send streams because it has not received the first GOAWAY. */
    private boolean mayStillSendStreams(SessionState state) {
        return state.isPingUnanswered && !state.hasBegunFinalGoAway && nowMs - startedAtMs < maxDrainMs / 2;
    }

    /** Ends the drain and serves again; sessions that were sent a final GOAWAY still refuse new streams. */
    synchronized void cancel() {
        for (SessionState state : sessions.values()) {
            state.isPingUnanswered = false;
            state.isOpenedDuringDrain = false;
        }
        stage = Stage.SERVING;
    }

    /** Moves to the next stage if the elapsed time and the active streams allow it, and returns the current stage. */
    synchronized Stage advance(double stepMs) {
        nowMs = stepMs;
        double drainingMs = nowMs - startedAtMs;
        if (stage == Stage.ANNOUNCED && drainingMs >= MIN_ANNOUNCEMENT_MS) {
            stage = Stage.SENDING_FINAL_GOAWAYS;
        }
        boolean isDrained = activeStreams() == 0 && sessions.values().stream().noneMatch(this::mayStillSendStreams);
        boolean isAtLimit = drainingMs >= maxDrainMs;
        if ((stage == Stage.SENDING_FINAL_GOAWAYS && (isDrained || isAtLimit))
                || (stage == Stage.ANNOUNCED && isAtLimit)) {
            stage = Stage.COMPLETED;
        }
        return stage;
    }

    /**
     * Returns the last accepted stream of a session, for the final GOAWAY that the caller sends; from now on new streams of
     * the session are refused. Returns {@link #NOT_DUE} after the first such call, while the client may not have received
     * the first GOAWAY, and for a session that was opened during the drain, which gets a GOAWAY of its own.
     */
    synchronized int beginFinalGoAway(S session) {
        SessionState state = sessions.get(session);
        if (state == null || state.isOpenedDuringDrain || state.hasBegunFinalGoAway || mayStillSendStreams(state)) {
            return NOT_DUE;
        }
        state.hasBegunFinalGoAway = true;
        return state.lastAcceptedStream;
    }

    synchronized boolean isIdle(S session) {
        SessionState state = sessions.get(session);
        return state == null || state.activeStreams == 0;
    }

    synchronized int activeStreams() {
        return sessions.values().stream().mapToInt(state -> state.activeStreams).sum();
    }

    /** Number of streams that ended during a drain. */
    synchronized int finished() {
        return finished;
    }

    /** Number of streams that were refused. */
    synchronized int refused() {
        return refused;
    }
}
