package linenring.routing;

import java.util.function.IntPredicate;

/** Hosts with weights over 0, to be drawn from by weight. Never changes; a draw takes O(log n). */
final class HostSelection {
    static final int NONE = -1;

    private final int[] hosts;
    private final double[] upTo; // sums of the weights so far

    /** Of the first {@code count} hosts. */
    HostSelection(int[] hosts, double[] weights, int count) {
        this.hosts = java.util.Arrays.copyOf(hosts, count);
        upTo = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += weights[i];
            upTo[i] = sum;
        }
    }

    boolean isEmpty() {
        return hosts.length == 0;
    }

    int count() {
        return hosts.length;
    }

    /** A host by weight, for {@code draw} in [0, 1); {@link #NONE} where there is none. */
    int pick(double draw) {
        if (hosts.length == 0) {
            return NONE;
        }
        double at = draw * upTo[hosts.length - 1];
        int low = 0, high = hosts.length - 1;
        while (low < high) { // the first whose sum is over it
            int middle = (low + high) >>> 1;
            if (upTo[middle] > at) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return hosts[low];
    }

    /** The same among those that are open to it; O(n), for further tries alone. */
    int pick(double draw, IntPredicate open) {
        double sum = 0;
        for (int i = 0; i < hosts.length; i++) {
            sum += open.test(hosts[i]) ? weight(i) : 0;
        }
        double at = draw * sum;
        int last = NONE;
        for (int i = 0; i < hosts.length; i++) {
            if (open.test(hosts[i])) {
                last = hosts[i];
                at -= weight(i);
                if (at < 0) {
                    return last;
                }
            }
        }
        return last; // rounding
    }

    private double weight(int i) {
        return i == 0 ? upTo[0] : upTo[i] - upTo[i - 1];
    }
}
