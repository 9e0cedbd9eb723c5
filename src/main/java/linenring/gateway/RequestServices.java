package linenring.gateway;

import java.util.concurrent.TimeUnit;
import linenring.routing.RollingStatistics;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * What all requests of a gateway share.
 *
 * @param clock      all times of decisions are of this one
 * @param scheduler  for deadlines
 * @param upstreams  connections to hosts
 * @param statistics for the reports to the controller
 * @param outcomes   for the operators
 */
record RequestServices(
        GatewayClock clock,
        Scheduler scheduler,
        UpstreamRegistry upstreams,
        RollingStatistics statistics,
        RequestOutcomes outcomes) {
    double nowMs() {
        return clock.nowMs();
    }

    Scheduler.Task schedule(Runnable task, double delayMs) {
        return scheduler.schedule(task, (long) Math.ceil(delayMs), TimeUnit.MILLISECONDS);
    }
}
