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

/**
 * Shuts the clients' sessions down gracefully by carrying out the decisions of {@link Drain} (RFC 9113, 6.8). The steps
 * run on the scheduler's thread.
 */
final class GracefulShutdown {
    /** Interval between two steps, the maximum delay between the end of the last request and the end of the drain. */
    private static final long STEP_INTERVAL_MS = 20;

    private final Drain<Session> drain;
    private final double maxDrainMs;
    private final GatewayClock clock;
    private final Scheduler scheduler;
    private final Log log;
    private final Set<Session> sessions = ConcurrentHashMap.newKeySet();
    private volatile CountDownLatch completion = new CountDownLatch(1);

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
     * Sends a GOAWAY to a client that has connected during a drain. The client's SETTINGS arrive after the gateway has
     * sent its own, which must precede any other frame (RFC 9113, 3.4).
     */
    void settingsReceived(Session session) {
        if (drain.wasOpenedDuringDrain(session)) {
            session.close(ErrorCode.NO_ERROR.code, "drains", Callback.NOOP);
        }
    }

    /** Records the answer to a PING; the gateway sends PINGs only during a drain. */
    void pingAnswered(Session session) {
        drain.pingAnswered(session);
    }

    /** Accepts a new stream and returns true, or returns false if the stream is to be refused as not processed. */
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
     * Begins a drain, unless one is in progress. New connections are still accepted and get a GOAWAY at once that no stream
     * was processed; in the kernel's accept queue they would get no response until the process ends.
     */
    void begin() {
        if (!drain.begin(clock.nowMs())) {
            return;
        }
        log.info(
                Http2Gateway.LOG_SUBJECT,
                "graceful shutdown begins with " + drain.activeStreams() + " active requests and " + sessions.size()
                        + " client sessions");
        sessions.forEach(this::sendFirstGoAway);
        step();
    }

    /**
     * Sends the first GOAWAY and a PING. The GOAWAY is sent by {@code frames()}, since Jetty's {@code goAway()} would
     * immediately close a session without active streams and lose the requests in transit.
     */
    private void sendFirstGoAway(Session session) {
        drain.pingSent(session);
        ((HTTP2Session) session).frames(null, List.of(GoAwayFrame.GRACEFUL), Callback.NOOP);
        session.ping(new PingFrame(false), Callback.NOOP);
    }

    private void step() {
        Drain.Stage stage = drain.advance(clock.nowMs());
        switch (stage) {
            case SERVING -> {} // the drain was cancelled
            case ANNOUNCED -> scheduleStep();
            case SENDING_FINAL_GOAWAYS -> {
                sendFinalGoAways();
                scheduleStep();
            }
            case COMPLETED -> {
                sendFinalGoAways();
                logCompletion();
                completion.countDown();
            }
        }
    }

    private void scheduleStep() {
        scheduler.schedule(this::step, STEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void sendFinalGoAways() {
        for (Session session : sessions) {
            int lastStream = drain.beginFinalGoAway(session);
            if (lastStream != Drain.NOT_DUE) {
                ((HTTP2Session) session)
                        .goAway(new GoAwayFrame(lastStream, ErrorCode.NO_ERROR.code, null), Callback.NOOP);
            }
        }
    }

    private void logCompletion() {
        int unfinished = drain.activeStreams();
        log.info(
                Http2Gateway.LOG_SUBJECT,
                "graceful shutdown completed; requests finished: " + drain.finished() + ", refused: " + drain.refused()
                        + ", aborted: " + unfinished
                        + (unfinished > 0 ? " at the limit of " + (long) maxDrainMs + " ms" : ""));
    }

    void awaitCompletion() throws InterruptedException {
        completion.await();
    }

    /** Cancels a drain in progress, so that new sessions and streams are accepted again. */
    void cancel() {
        drain.cancel();
        completion = new CountDownLatch(1);
    }
}
