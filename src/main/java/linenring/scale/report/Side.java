package linenring.scale.report;

import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;

/** The kind of controller whose usage a fit describes. */
public enum Side {
    REAL("real"),
    /** A simulated controller; the key of its usage in stored records is {@code hollow}. */
    SIMULATED("simulated");

    private final String description;

    Side(String description) {
        this.description = description;
    }

    /** Returns the name for tables. */
    public String description() {
        return description;
    }

    /** Returns the usage of this kind of controller at a point, or null if there is none. */
    public Usage of(Point point) {
        return switch (this) {
            case REAL -> point.real();
            case SIMULATED -> point.hollow();
        };
    }
}
