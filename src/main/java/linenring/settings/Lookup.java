package linenring.settings;

import java.util.List;

/**
 * Values found by their path, wherever they were read from. Durations are microseconds there and milliseconds here. Each
 * method throws what {@link #bad} makes where the value is missing without a default, or not of its kind.
 */
public abstract class Lookup {
    private static final double MICROS_PER_MS = 1000;

    /** The value at the path, or null where there is none; a list of plain values has commas between them. */
    public abstract String find(String path);

    /** What to throw for the value at the path; {@code fault} may begin with a colon. */
    protected abstract RuntimeException bad(String path, String fault);

    /** A text that is not empty. */
    public String text(String path) {
        String value = find(path);
        if (value == null || value.isEmpty()) {
            throw bad(path, "is missing");
        }
        return value;
    }

    /** A whole number; one beyond the range of a long wraps, as ids may be unsigned. */
    public long whole(String path) {
        String value = text(path);
        try {
            return value.startsWith("-") ? Long.parseLong(value) : Long.parseUnsignedLong(value);
        } catch (NumberFormatException failure) {
            throw bad(path, ": '" + value + "' is not a whole number");
        }
    }

    /** A whole number from 0 on. */
    public int index(String path) {
        long value = whole(path);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw bad(path, ": " + value + " is out of range");
        }
        return (int) value;
    }

    /** A whole number from 0 on, or the default. */
    public int index(String path, int defaultValue) {
        return find(path) == null ? defaultValue : index(path);
    }

    /** A finite number. */
    public double number(String path) {
        return toNumber(path, text(path));
    }

    /** A finite number, or the default. */
    public double number(String path, double defaultValue) {
        String value = find(path);
        return value == null ? defaultValue : toNumber(path, value);
    }

    /** A number of 0 or more, or the default. */
    public double amount(String path, double defaultValue) {
        double value = number(path, defaultValue);
        if (value < 0) {
            throw bad(path, ": " + shown(value) + " is under 0");
        }
        return value;
    }

    /** A number of more than 0, or the default. */
    public double positive(String path, double defaultValue) {
        double value = number(path, defaultValue);
        if (value <= 0) {
            throw bad(path, ": " + shown(value) + " is not over 0");
        }
        return value;
    }

    private static String shown(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** Whether the value is 1 or true. */
    public boolean flag(String path) {
        return toFlag(path, text(path));
    }

    /** Whether the value is 1 or true, or the default. */
    public boolean flag(String path, boolean defaultValue) {
        String value = find(path);
        return value == null ? defaultValue : toFlag(path, value);
    }

    /** A time, in ms; the value is in microseconds. */
    public double millis(String path) {
        return whole(path) / MICROS_PER_MS;
    }

    /** A duration of 0 or more, in ms, or the default; the value is in microseconds. */
    public double millis(String path, double defaultMs) {
        return find(path) == null ? defaultMs : amount(path, 0) / MICROS_PER_MS;
    }

    /** The items of a list of plain values; none where it is missing. */
    public List<String> list(String path) {
        String value = find(path);
        return value == null || value.isEmpty() ? List.of() : List.of(value.split(",", 0));
    }

    private double toNumber(String path, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException failure) {
            // reported below, like an infinite number
        }
        throw bad(path, ": '" + value + "' is not a number");
    }

    private boolean toFlag(String path, String value) {
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw bad(path, ": '" + value + "' is neither 0 nor 1");
        };
    }
}
