package linenring.scale.report;

import java.util.Locale;
import java.util.function.ToDoubleFunction;
import linenring.scale.measurement.Usage;

/** A figure of a usage, and the unit that tables and plots show it in. */
public enum Metric {
    PROCESSOR("processor", "% of a core", 0.01, Usage::processorShare),
    RESIDENT("resident memory", "MB", 1e6, Usage::residentBytes),
    HEAP("heap after collection", "MB", 1e6, Usage::heapBytes),
    BYTES_IN("bytes in", "kB/s", 1e3, Usage::bytesInPerSecond),
    BYTES_OUT("bytes out", "kB/s", 1e3, Usage::bytesOutPerSecond),
    MESSAGES_IN("messages in", "a second", 1, Usage::messagesInPerSecond),
    MESSAGES_OUT("messages out", "a second", 1, Usage::messagesOutPerSecond);

    private final String description;
    private final String unit;
    private final double unitSize;
    private final ToDoubleFunction<Usage> figure;

    Metric(String description, String unit, double unitSize, ToDoubleFunction<Usage> figure) {
        this.description = description;
        this.unit = unit;
        this.unitSize = unitSize;
        this.figure = figure;
    }

    public String description() {
        return description;
    }

    public String unit() {
        return unit;
    }

    /** The figure in its unit; NaN where it was not read. */
    public double of(Usage usage) {
        return figure.applyAsDouble(usage) / unitSize;
    }

    /** The word for file names. */
    String fileName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
