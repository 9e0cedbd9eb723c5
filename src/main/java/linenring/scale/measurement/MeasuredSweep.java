package linenring.scale.measurement;

import java.util.List;

/** The results of a sweep: one point for each measured size, in the order of measurement. */
public record MeasuredSweep(Variable variable, Workload base, List<Point> points) {
    /** Copies the points, so that the record is immutable. */
    public MeasuredSweep {
        points = List.copyOf(points);
    }
}
