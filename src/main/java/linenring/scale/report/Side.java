package linenring.scale.report;

import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;

/** Whose usage a fit describes. */
public enum Side {
    REAL("real"),
    /** Called hollow in stored records. */
    SIMULATED("simulated");

    private final String description;

    Side(String description) {
        this.description = description;
    }

    /** The text for tables. */
    public String description() {
        return description;
    }

    /** Its usage at a point, or null if there is none. */
    public Usage of(Point point) {
        return switch (this) {
            case REAL -> point.real();
            case SIMULATED -> point.hollow();
        };
    }
}
