package linenring.scale.measurement;

import java.util.List;

/** A sweep as it was measured: a point for each size that was played, in the order played. */
public record MeasuredSweep(Variable variable, Workload base, List<Point> points) {
    /** Copies the list, so that the value can't change. */
    public MeasuredSweep {
        points = List.copyOf(points);
    }
}
