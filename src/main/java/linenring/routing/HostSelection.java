package linenring.routing;

import java.util.Arrays;
import java.util.function.IntPredicate;

/** Hosts with weights over 0, to be drawn from by weight. Immutable; a draw takes O(log n). */
final class HostSelection {
    /** No host. */
    static final int NONE = -1;

    private final int[] hosts;
    private final double[] cumulativeWeights;

    /** Of the first {@code count} hosts. */
    HostSelection(int[] hosts, double[] weights, int count) {
        this.hosts = Arrays.copyOf(hosts, count);
        cumulativeWeights = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += weights[i];
            cumulativeWeights[i] = sum;
        }
    }

    boolean isEmpty() {
        return hosts.length == 0;
    }

    /** A host by weight, for {@code draw} in [0, 1); {@link #NONE} where there is none. */
    int pick(double draw) {
        if (hosts.length == 0) {
            return NONE;
        }
        double target = draw * cumulativeWeights[hosts.length - 1];
        int low = 0;
        int high = hosts.length - 1;
        while (low < high) { // the first whose cumulative weight is over the target
            int middle = (low + high) >>> 1;
            if (cumulativeWeights[middle] > target) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return hosts[low];
    }

    /** The same among the hosts that are allowed; O(n), so for retries alone. */
    int pick(double draw, IntPredicate allowed) {
        double allowedWeight = 0;
        for (int i = 0; i < hosts.length; i++) {
            allowedWeight += allowed.test(hosts[i]) ? weight(i) : 0;
        }
        double remaining = draw * allowedWeight;
        int last = NONE;
        for (int i = 0; i < hosts.length; i++) {
            if (allowed.test(hosts[i])) {
                last = hosts[i];
                remaining -= weight(i);
                if (remaining < 0) {
                    return last;
                }
            }
        }
        return last; // rounding left a remainder
    }

    private double weight(int position) {
        return position == 0 ? cumulativeWeights[0] : cumulativeWeights[position] - cumulativeWeights[position - 1];
    }
}
