package linenring.scale.measurement;

import java.util.List;

/** Sizes of one variable, each measured with the rest of the workload held. */
public record Sweep(Variable variable, List<Double> sizes, Workload base) {
    /** Copies the list, so that the value can't change. */
    public Sweep {
        sizes = List.copyOf(sizes);
    }
}
