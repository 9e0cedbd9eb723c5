package linenring.routing;

import java.util.Arrays;

/**
 * Ejects, for a while, a host at which this proxy's own attempts failed several times in a row.
 *
 * <p>It guards against a host that fails before any report has reached the controller; that shows as consecutive
 * failures at one proxy. Own attempts alone count, as with any proxy, so nothing has to be waited for. It does harm
 * where failures come from the requests and not from the host: then all hosts are ejected in turn, and {@link Tables}
 * picks among all of them again.
 *
 * <p>It ejects for this proxy alone. The controller ejects for all proxies, by the load reports of all of them
 * ({@code planner.OutlierDetector}); {@link Tables} picks no host that either has ejected.
 */
final class OutlierEjection {
    /** As the number of failures: no host is ever ejected. */
    static final int NEVER = 0;

    /** The number of hosts by which arrays grow, so that a fleet's first failures do not copy them each time. */
    private static final int GROWTH_HOSTS = 16;

    private final int failuresInARow;
    private final double ejectionMs;
    private int[] consecutiveFailures = {}; // by host; guarded by this
    private double[] ejectedUntilMs = {}; // by host, 0 if it is not ejected; guarded by this
    private volatile double nextReturnMs = Double.POSITIVE_INFINITY; // written under this
    private volatile int version; // written under this

    /** {@code failuresInARow} failed attempts eject a host for {@code ejectionMs}. */
    OutlierEjection(int failuresInARow, double ejectionMs) {
        this.failuresInARow = failuresInARow;
        this.ejectionMs = ejectionMs;
    }

    /** Changes whenever a host is ejected or returns. */
    int version(double nowMs) {
        if (nowMs >= nextReturnMs) {
            returnHosts(nowMs);
        }
        return version;
    }

    private synchronized void returnHosts(double nowMs) {
        double next = Double.POSITIVE_INFINITY;
        boolean returned = false;
        for (int host = 0; host < ejectedUntilMs.length; host++) {
            if (ejectedUntilMs[host] > nowMs) {
                next = Math.min(next, ejectedUntilMs[host]);
            } else if (ejectedUntilMs[host] > 0) {
                ejectedUntilMs[host] = 0;
                returned = true;
            }
        }
        nextReturnMs = next;
        version += returned ? 1 : 0;
    }

    synchronized boolean isEjected(int host) {
        return host < ejectedUntilMs.length && ejectedUntilMs[host] > 0;
    }

    /** Records the end of one own attempt; true if the host is ejected from now on. */
    synchronized boolean recordOutcome(int host, boolean success, double nowMs) {
        if (host >= consecutiveFailures.length) {
            if (success) {
                return false;
            }
            consecutiveFailures = Arrays.copyOf(consecutiveFailures, host + GROWTH_HOSTS);
            ejectedUntilMs = Arrays.copyOf(ejectedUntilMs, host + GROWTH_HOSTS);
        }
        consecutiveFailures[host] = success ? 0 : consecutiveFailures[host] + 1;
        if (failuresInARow == NEVER || consecutiveFailures[host] < failuresInARow) {
            return false;
        }
        consecutiveFailures[host] = 0; // the next ejection needs as many again
        ejectedUntilMs[host] = nowMs + ejectionMs;
        nextReturnMs = Math.min(nextReturnMs, ejectedUntilMs[host]);
        version++;
        return true;
    }
}
