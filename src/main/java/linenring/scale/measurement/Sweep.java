package linenring.scale.measurement;

import java.util.List;

/** Sizes of one variable, each measured with the rest of the workload held. */
public record Sweep(Variable variable, List<Double> sizes, Workload base) {
    public Sweep {
        sizes = List.copyOf(sizes);
    }
}
