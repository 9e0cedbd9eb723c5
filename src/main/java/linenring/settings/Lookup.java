package linenring.settings;

import java.util.List;

/**
 * Typed access to settings by path, for any source of settings. Sources hold durations in microseconds; the methods
 * return milliseconds. Each method throws the exception that {@link #invalidValue} creates if the value is of the wrong type, or
 * is missing and has no default.
 */
public abstract class Lookup {
    private static final double MICROS_PER_MS = 1000;

    /** Returns the value at the path, or null if there is none; a list of scalar values is joined with commas. */
    public abstract String find(String path);

    /** Creates the exception for an invalid value at the path; {@code fault} follows the path and may begin with a colon. */
    protected abstract RuntimeException invalidValue(String path, String fault);

    /** Returns the text at the path, which must not be empty. */
    public String text(String path) {
        String value = find(path);
        if (value == null || value.isEmpty()) {
            throw invalidValue(path, "is missing");
        }
        return value;
    }

    /**
     * Returns the integer at the path. Unsigned 64-bit values are accepted and returned as the long with the same bits,
     * as ids may be unsigned.
     */
    public long wholeNumber(String path) {
        String value = text(path);
        try {
            return value.startsWith("-") ? Long.parseLong(value) : Long.parseUnsignedLong(value);
        } catch (NumberFormatException failure) {
            throw invalidValue(path, ": '" + value + "' is not a whole number");
        }
    }

    /** Returns the non-negative integer at the path. */
    public int index(String path) {
        long value = wholeNumber(path);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw invalidValue(path, ": " + value + " is out of range");
        }
        return (int) value;
    }

    /** Returns the non-negative integer at the path, or the default. */
    public int index(String path, int defaultValue) {
        return find(path) == null ? defaultValue : index(path);
    }

    /** Returns the finite number at the path. */
    public double number(String path) {
        return toNumber(path, text(path));
    }

    /** Returns the finite number at the path, or the default. */
    public double number(String path, double defaultValue) {
        String value = find(path);
        return value == null ? defaultValue : toNumber(path, value);
    }

    /** Returns the non-negative number at the path, or the default. */
    public double nonNegativeNumber(String path, double defaultValue) {
        double value = number(path, defaultValue);
        if (value < 0) {
            throw invalidValue(path, ": " + formatWithoutTrailingZeros(value) + " is negative");
        }
        return value;
    }

    /** Returns the positive number at the path, or the default. */
    public double positiveNumber(String path, double defaultValue) {
        double value = number(path, defaultValue);
        if (value <= 0) {
            throw invalidValue(path, ": " + formatWithoutTrailingZeros(value) + " is not greater than 0");
        }
        return value;
    }

    private static String formatWithoutTrailingZeros(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** Whether the value at the path is 1 or true, rather than 0 or false. */
    public boolean flag(String path) {
        return toFlag(path, text(path));
    }

    /** Whether the value at the path is 1 or true, rather than 0 or false; the default if it is missing. */
    public boolean flag(String path, boolean defaultValue) {
        String value = find(path);
        return value == null ? defaultValue : toFlag(path, value);
    }

    /** Returns the time at the path, in ms; the source holds an integer in microseconds. */
    public double millis(String path) {
        return wholeNumber(path) / MICROS_PER_MS;
    }

    /** Returns the non-negative duration at the path, in ms, or the default; the source holds microseconds. */
    public double millis(String path, double defaultMs) {
        return find(path) == null ? defaultMs : nonNegativeNumber(path, 0) / MICROS_PER_MS;
    }

    /** Returns the items of the list of scalar values at the path; empty if the list is missing. */
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
            // text that is not a number is reported below, as infinite numbers are
        }
        throw invalidValue(path, ": '" + value + "' is not a number");
    }

    private boolean toFlag(String path, String value) {
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw invalidValue(path, ": '" + value + "' is not a boolean: 0, 1, false or true");
        };
    }
}
