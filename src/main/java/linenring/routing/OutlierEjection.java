package linenring.routing;

import java.util.Arrays;

/**
 * Keeps away from hosts at which so many own tries in a row errored, for a span. Own tries alone count, as with any
 * proxy: it answers what nobody has reported yet. It does harm where a host errors by what it is asked and not by what
 * it is; then all hosts are avoided in turn, and all are picked again.
 */
final class OutlierEjection {
    /** Nobody is avoided, ever. */
    static final int NEVER = 0;

    private final int inARow;
    private final double span;
    private int[] errored = {}; // in a row, by host
    private double[] until = {}; // by host; not avoided from then on
    private volatile double nextEnd = Double.POSITIVE_INFINITY;
    private volatile int version;

    /** {@code inARow} errored tries lead to a {@code span} in ms. */
    OutlierEjection(int inARow, double span) {
        this.inARow = inARow;
        this.span = span;
    }

    /** Changes whenever somebody comes to be avoided, or no longer is. */
    int version(double now) {
        if (now >= nextEnd) {
            over(now);
        }
        return version;
    }

    private synchronized void over(double now) {
        double next = Double.POSITIVE_INFINITY;
        boolean ended = false;
        for (int h = 0; h < until.length; h++) {
            if (until[h] > now) {
                next = Math.min(next, until[h]);
            } else if (until[h] > 0) {
                until[h] = 0;
                ended = true;
            }
        }
        nextEnd = next;
        version += ended ? 1 : 0;
    }

    synchronized boolean isAvoided(int host) {
        return host < until.length && until[host] > 0;
    }

    /** One own try ended; true if the host is avoided from now on. */
    synchronized boolean ended(int host, boolean well, double now) {
        if (host >= errored.length) {
            if (well) {
                return false;
            }
            errored = Arrays.copyOf(errored, host + 16);
            until = Arrays.copyOf(until, host + 16);
        }
        errored[host] = well ? 0 : errored[host] + 1;
        if (inARow == NEVER || errored[host] < inARow) {
            return false;
        }
        errored[host] = 0; // the next span needs as many again
        until[host] = now + span;
        nextEnd = Math.min(nextEnd, until[host]);
        version++;
        return true;
    }
}
