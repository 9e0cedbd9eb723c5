package linenring.scale.measurement;

import java.util.List;

/** The sizes of one variable to measure, with all other values of the base workload constant. */
public record Sweep(Variable variable, List<Double> sizes, Workload base) {
    /** Copies the sizes, so that the record is immutable. */
    public Sweep {
        sizes = List.copyOf(sizes);
    }
}
