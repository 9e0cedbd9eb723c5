package linenring.gateway;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linenring.log.Log;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.frames.GoAwayFrame;
import org.eclipse.jetty.http2.frames.PingFrame;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/** Drains the clients' sessions: does what {@link Drain} decides (RFC 9113, 6.8). Steps run on the scheduler's thread. */
final class GracefulShutdown {
    private static final long STEP_MS = 20; // a drain ends within this time after its last request

    private final Drain<Session> drain;
    private final double maxDrainMs;
    private final GatewayClock clock;
    private final Scheduler scheduler;
    private final Log log;
    private final Set<Session> sessions = ConcurrentHashMap.newKeySet();
    private volatile CountDownLatch over = new CountDownLatch(1);

    GracefulShutdown(double maxDrainMs, GatewayClock clock, Scheduler scheduler, Log log) {
        this.maxDrainMs = maxDrainMs;
        this.clock = clock;
        this.scheduler = scheduler;
        this.log = log;
        drain = new Drain<>(maxDrainMs);
    }

    void sessionOpened(Session session) {
        sessions.add(session);
        drain.sessionOpened(session);
    }

    void sessionClosed(Session session) {
        sessions.remove(session);
        drain.sessionClosed(session);
    }

    /**
     * A client that came during a drain gets its GOAWAY behind the gateway's own SETTINGS, which go first (RFC 9113, 3.4).
     */
    void settingsReceived(Session session) {
        if (drain.wasOpenedDuringDrain(session)) {
            session.close(ErrorCode.NO_ERROR.code, "drains", Callback.NOOP);
        }
    }

    /** Only a drain sends any PING. */
    void pingAnswered(Session session) {
        drain.pingAnswered(session);
    }

    /** A stream has come; false: it is to be refused as not processed. */
    boolean acceptStream(Session session, int streamId) {
        return drain.acceptStream(session, streamId);
    }

    void streamClosed(Session session) {
        drain.streamClosed(session);
    }

    boolean isIdle(Session session) {
        return drain.isIdle(session);
    }

    /**
     * Begins, unless it has begun. Connections are accepted as before, and get at once a GOAWAY that nothing of theirs was
     * processed: in the listener's queue they would hear nothing until the process ends.
     */
    void begin() {
        if (!drain.begin(clock.nowMs())) {
            return;
        }
        log.info(
                Http2Gateway.LOG_SUBJECT,
                "drains: " + drain.activeStreams() + " requests are active, " + sessions.size() + " clients");
        sessions.forEach(this::announce);
        step();
    }

    /**
     * The GOAWAY goes out by {@code frames()}: after its own {@code goAway()} Jetty closes a session at once in which
     * nothing is active, and with it the requests that are on their way.
     */
    private void announce(Session session) {
        drain.pingSent(session);
        ((HTTP2Session) session).frames(null, List.of(GoAwayFrame.GRACEFUL), Callback.NOOP);
        session.ping(new PingFrame(false), Callback.NOOP);
    }

    private void step() {
        Drain.Stage stage = drain.advance(clock.nowMs());
        switch (stage) {
            case SERVING -> {} // cancelled
            case ANNOUNCED -> scheduleStep();
            case NAMING_LAST_STREAMS -> {
                nameLastStreams();
                scheduleStep();
            }
            case OVER -> {
                nameLastStreams();
                logEnd();
                over.countDown();
            }
        }
    }

    private void scheduleStep() {
        scheduler.schedule(this::step, STEP_MS, TimeUnit.MILLISECONDS);
    }

    private void nameLastStreams() {
        for (Session session : sessions) {
            int last = drain.nameLastStream(session);
            if (last != Drain.NOT_NOW) {
                ((HTTP2Session) session).goAway(new GoAwayFrame(last, ErrorCode.NO_ERROR.code, null), Callback.NOOP);
            }
        }
    }

    private void logEnd() {
        int left = drain.activeStreams();
        log.info(
                Http2Gateway.LOG_SUBJECT,
                "has drained: " + drain.finished() + " finished, " + drain.refused() + " refused, " + left
                        + " broken off" + (left > 0 ? " after " + (long) maxDrainMs + " ms" : ""));
    }

    void awaitOver() throws InterruptedException {
        over.await();
    }

    /** A drain that has begun is called off for all who come from now on. */
    void cancel() {
        drain.cancel();
        over = new CountDownLatch(1);
    }
}
