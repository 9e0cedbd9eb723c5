package linenring.scale.report;

import java.util.Locale;
import linenring.scale.measurement.Usage;

/** A measured value of {@link Usage}, with the unit that tables and plots use. */
public enum Metric {
    PROCESSOR("processor", "% of a core", 0.01),
    RESIDENT("resident memory", "MB", 1e6),
    HEAP("heap after collection", "MB", 1e6),
    BYTES_IN("bytes in", "kB/s", 1e3),
    BYTES_OUT("bytes out", "kB/s", 1e3),
    MESSAGES_IN("messages in", "a second", 1),
    MESSAGES_OUT("messages out", "a second", 1);

    private final String description;
    private final String unit;
    private final double unitSize;

    Metric(String description, String unit, double unitSize) {
        this.description = description;
        this.unit = unit;
        this.unitSize = unitSize;
    }

    /** Returns the metric's name for tables and plots. */
    public String description() {
        return description;
    }

    /** Returns the unit for tables and plots. */
    public String unit() {
        return unit;
    }

    /** Returns the metric's value in its unit, or NaN if it was not measured. */
    public double of(Usage usage) {
        return baseValue(usage) / unitSize;
    }

    private double baseValue(Usage usage) {
        return switch (this) {
            case PROCESSOR -> usage.processorShare();
            case RESIDENT -> usage.residentBytes();
            case HEAP -> usage.heapBytes();
            case BYTES_IN -> usage.bytesInPerSecond();
            case BYTES_OUT -> usage.bytesOutPerSecond();
            case MESSAGES_IN -> usage.messagesInPerSecond();
            case MESSAGES_OUT -> usage.messagesOutPerSecond();
        };
    }

    /** Returns the metric's part of a file name. */
    String fileName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
