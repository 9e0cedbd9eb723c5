package linenring.settings;

/** Figures found by their path, wherever they were read from. Times are told in microseconds. */
public abstract class Lookup {
    /** The value at the path, or null; a list of plain values has commas between them. */
    public abstract String find(String path);

    /** What to throw for the value at the path. */
    protected abstract RuntimeException bad(String path, String what);

    public String text(String path) {
        String value = find(path);
        if (value == null || value.isEmpty()) {
            throw bad(path, "is missing");
        }
        return value;
    }

    public long whole(String path) {
        String value = text(path);
        try {
            return value.startsWith("-") ? Long.parseLong(value) : Long.parseUnsignedLong(value);
        } catch (NumberFormatException e) {
            throw bad(path, ": '" + value + "' is not a whole number");
        }
    }

    public int index(String path) {
        long value = whole(path);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw bad(path, ": " + value + " is out of range");
        }
        return (int) value;
    }

    public int index(String path, int absent) {
        return find(path) == null ? absent : index(path);
    }

    public double number(String path) {
        return toNumber(path, text(path));
    }

    public double number(String path, double absent) {
        String value = find(path);
        return value == null ? absent : toNumber(path, value);
    }

    /** A number of 0 or more. */
    public double amount(String path, double absent) {
        double value = number(path, absent);
        if (value < 0) {
            throw bad(path, ": " + shown(value) + " is under 0");
        }
        return value;
    }

    /** A number of more than 0. */
    public double positive(String path, double absent) {
        double value = number(path, absent);
        if (value <= 0) {
            throw bad(path, ": " + shown(value) + " is not over 0");
        }
        return value;
    }

    private static String shown(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    public boolean flag(String path) {
        return toFlag(path, text(path));
    }

    public boolean flag(String path, boolean absent) {
        String value = find(path);
        return value == null ? absent : toFlag(path, value);
    }

    public double millis(String path) {
        return whole(path) / 1000.0;
    }

    public double millis(String path, double absent) {
        return find(path) == null ? absent : amount(path, 0) / 1000.0;
    }

    public String[] list(String path) {
        String value = find(path);
        return value == null || value.isEmpty() ? new String[0] : value.split(",");
    }

    private double toNumber(String path, String value) {
        try {
            double number = Double.parseDouble(value);
            if (!Double.isNaN(number) && !Double.isInfinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below, as for what is no figure
        }
        throw bad(path, ": '" + value + "' is not a number");
    }

    private boolean toFlag(String path, String value) {
        switch (value) {
            case "1", "true":
                return true;
            case "0", "false":
                return false;
            default:
                throw bad(path, ": '" + value + "' is neither 0 nor 1");
        }
    }
}
