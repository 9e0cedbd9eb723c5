package linenring.gateway;

import java.util.concurrent.TimeUnit;
import linenring.routing.LoadStatistics;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The services that all requests of a gateway share.
 *
 * @param clock      the clock for all retry decisions and statistics
 * @param scheduler  runs the timers of deadlines
 * @param upstreams  the connections to hosts
 * @param statistics the counts that load reports to the controller contain
 * @param outcomes   the outcome counts that are logged for operators
 */
record RequestServices(
        GatewayClock clock,
        Scheduler scheduler,
        UpstreamRegistry upstreams,
        LoadStatistics statistics,
        RequestOutcomes outcomes) {
    double nowMs() {
        return clock.nowMs();
    }

    Scheduler.Task schedule(Runnable task, double delayMs) {
        return scheduler.schedule(task, (long) Math.ceil(delayMs), TimeUnit.MILLISECONDS);
    }
}
