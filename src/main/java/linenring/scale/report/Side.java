package linenring.scale.report;

import java.util.function.Function;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;

/** Whose usage is looked at. */
public enum Side {
    REAL("real", Point::real),
    HOLLOW("hollow", Point::hollow);

    private final String description;
    private final Function<Point, Usage> usage;

    Side(String description, Function<Point, Usage> usage) {
        this.description = description;
        this.usage = usage;
    }

    public String description() {
        return description;
    }

    /** Its usage at a point, or null where there is none. */
    public Usage of(Point point) {
        return usage.apply(point);
    }
}
