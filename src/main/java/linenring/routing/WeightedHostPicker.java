package linenring.routing;

import java.util.Arrays;
import java.util.function.IntPredicate;

/** Picks hosts at random in proportion to their weights, which are above 0. Immutable; a pick takes O(log n) time. */
final class WeightedHostPicker {
    /** The result of a pick when no host can be picked. */
    static final int NONE = -1;

    private final int[] hosts;
    private final double[] cumulativeWeights;

    /** Creates a picker for the first {@code count} hosts of the array. */
    WeightedHostPicker(int[] hosts, double[] weights, int count) {
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

    /** Picks a host by weight for a random number {@code draw} in [0, 1); {@link #NONE} if there are no hosts. */
    int pick(double draw) {
        if (hosts.length == 0) {
            return NONE;
        }
        double target = draw * cumulativeWeights[hosts.length - 1];
        int low = 0;
        int high = hosts.length - 1;
        while (low < high) { // binary search for the first cumulative weight above the target
            int middle = (low + high) >>> 1;
            if (cumulativeWeights[middle] > target) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return hosts[low];
    }

    /** Picks a host by weight among the allowed hosts. It takes O(n) time and is therefore used for retries only. */
    int pick(double draw, IntPredicate allowed) {
        double allowedWeight = 0;
        for (int i = 0; i < hosts.length; i++) {
            allowedWeight += allowed.test(hosts[i]) ? weight(i) : 0;
        }
        double remainingWeight = draw * allowedWeight;
        int lastAllowed = NONE;
        for (int i = 0; i < hosts.length; i++) {
            if (allowed.test(hosts[i])) {
                lastAllowed = hosts[i];
                remainingWeight -= weight(i);
                if (remainingWeight < 0) {
                    return lastAllowed;
                }
            }
        }
        return lastAllowed; // a rounding error left a remainder
    }

    private double weight(int position) {
        return position == 0 ? cumulativeWeights[0] : cumulativeWeights[position] - cumulativeWeights[position - 1];
    }
}
