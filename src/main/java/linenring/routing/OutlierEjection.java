package linenring.routing;

import java.util.Arrays;

/**
 * Outlier ejection at one proxy: temporarily ejects a host after several consecutive failures of this proxy's attempts.
 *
 * <p>It reacts to a failing host before a load report has reached the controller, which is possible because only this
 * proxy's own attempts count. If failures are caused by the requests and not by the host, all hosts are ejected in
 * turn; {@link EndpointTables} then picks among all of them again.
 *
 * <p>An ejection by this class applies to this proxy only. The controller ejects hosts for all proxies, based on the
 * load reports of all proxies ({@code planner.OutlierDetector}). {@link EndpointTables} never picks a host that the controller
 * has ejected, and avoids hosts that this class has ejected as long as another host is eligible.
 */
final class OutlierEjection {
    /** Value of {@code failuresToEject} that disables outlier ejection. */
    static final int NEVER = 0;

    /** Number of hosts by which the arrays grow, so that the first failure of each host does not copy the arrays. */
    private static final int GROWTH_HOSTS = 16;

    private final int failuresToEject;
    private final double ejectionMs;
    private int[] consecutiveFailures = {}; // number of failures by host index; guarded by this object's lock
    private double[]
            ejectedUntilMs = {}; // end of the ejection by host index, 0 if the host is not ejected; guarded by this
    // object's lock
    private volatile double nextEjectionEndMs = Double.POSITIVE_INFINITY; // written under this object's lock
    private volatile int version; // written under this object's lock

    /** Ejects a host for {@code ejectionMs} after {@code failuresToEject} consecutive failures. */
    OutlierEjection(int failuresToEject, double ejectionMs) {
        this.failuresToEject = failuresToEject;
        this.ejectionMs = ejectionMs;
    }

    /** Returns a version number that changes whenever a host is ejected or its ejection ends. */
    int version(double nowMs) {
        if (nowMs >= nextEjectionEndMs) {
            endExpiredEjections(nowMs);
        }
        return version;
    }

    private synchronized void endExpiredEjections(double nowMs) {
        double nextEndMs = Double.POSITIVE_INFINITY;
        boolean hasReturnedHosts = false;
        for (int host = 0; host < ejectedUntilMs.length; host++) {
            if (ejectedUntilMs[host] > nowMs) {
                nextEndMs = Math.min(nextEndMs, ejectedUntilMs[host]);
            } else if (ejectedUntilMs[host] > 0) {
                ejectedUntilMs[host] = 0;
                hasReturnedHosts = true;
            }
        }
        nextEjectionEndMs = nextEndMs;
        version += hasReturnedHosts ? 1 : 0;
    }

    synchronized boolean isEjected(int host) {
        return host < ejectedUntilMs.length && ejectedUntilMs[host] > 0;
    }

    /** Records the outcome of an attempt by this proxy; true if the attempt causes the ejection of the host. */
    synchronized boolean recordOutcome(int host, boolean isSuccess, double nowMs) {
        if (host >= consecutiveFailures.length) {
            if (isSuccess) {
                return false;
            }
            consecutiveFailures = Arrays.copyOf(consecutiveFailures, host + GROWTH_HOSTS);
            ejectedUntilMs = Arrays.copyOf(ejectedUntilMs, host + GROWTH_HOSTS);
        }
        consecutiveFailures[host] = isSuccess ? 0 : consecutiveFailures[host] + 1;
        if (failuresToEject == NEVER || consecutiveFailures[host] < failuresToEject) {
            return false;
        }
        consecutiveFailures[host] = 0; // the next ejection requires the full number of failures
        ejectedUntilMs[host] = nowMs + ejectionMs;
        nextEjectionEndMs = Math.min(nextEjectionEndMs, ejectedUntilMs[host]);
        version++;
        return true;
    }
}
