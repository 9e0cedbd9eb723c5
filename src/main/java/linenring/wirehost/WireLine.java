package linenring.wirehost;

/** One line of the wire, cut into its name and fields. It is used again for each line. */
final class WireLine {
    private String[] names = new String[256];
    private String[] values = new String[256];
    private int count;
    private long number;
    String name = "";

    void read(String text, long lineNumber) {
        number = lineNumber;
        count = 0;
        int end = text.indexOf(' ');
        name = end < 0 ? text : text.substring(0, end);
        while (end >= 0 && end < text.length()) {
            int start = end + 1;
            end = text.indexOf(' ', start);
            int stop = end < 0 ? text.length() : end;
            if (stop == start) {
                continue;
            }
            int equals = text.indexOf('=', start);
            if (equals < 0 || equals >= stop) {
                throw bad("'" + text.substring(start, stop) + "' is not name=value");
            }
            if (count == names.length) {
                names = java.util.Arrays.copyOf(names, 2 * count);
                values = java.util.Arrays.copyOf(values, 2 * count);
            }
            names[count] = text.substring(start, equals);
            values[count++] = text.substring(equals + 1, stop);
        }
    }

    BadInput bad(String what) {
        return new BadInput(number, (name.isEmpty() ? "" : name + ": ") + what);
    }

    /** The value of a field, or null. */
    String find(String field) {
        for (int i = 0; i < count; i++) {
            if (names[i].equals(field)) {
                return values[i];
            }
        }
        return null;
    }

    String text(String field) {
        String value = find(field);
        if (value == null || value.isEmpty()) {
            throw bad("field " + field + " is missing");
        }
        return value;
    }

    long whole(String field) {
        String value = text(field);
        try {
            return value.startsWith("-") ? Long.parseLong(value) : Long.parseUnsignedLong(value);
        } catch (NumberFormatException e) {
            throw bad("field " + field + ": '" + value + "' is not a whole number");
        }
    }

    int index(String field) {
        long value = whole(field);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw bad("field " + field + ": " + value + " is out of range");
        }
        return (int) value;
    }

    int index(String field, int absent) {
        return find(field) == null ? absent : index(field);
    }

    double number(String field) {
        return toNumber(field, text(field));
    }

    double number(String field, double absent) {
        String value = find(field);
        return value == null ? absent : toNumber(field, value);
    }

    boolean flag(String field) {
        return toFlag(field, text(field));
    }

    boolean flag(String field, boolean absent) {
        String value = find(field);
        return value == null ? absent : toFlag(field, value);
    }

    double millis(String field) {
        return whole(field) / 1000.0;
    }

    double millis(String field, double absent) {
        return find(field) == null ? absent : number(field) / 1000.0;
    }

    String[] list(String field) {
        String value = find(field);
        return value == null || value.isEmpty() ? new String[0] : value.split(",");
    }

    private double toNumber(String field, String value) {
        try {
            double number = Double.parseDouble(value);
            if (!Double.isNaN(number) && !Double.isInfinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below, as for what is no figure
        }
        throw bad("field " + field + ": '" + value + "' is not a number");
    }

    private boolean toFlag(String field, String value) {
        switch (value) {
            case "1", "true":
                return true;
            case "0", "false":
                return false;
            default:
                throw bad("field " + field + ": '" + value + "' is neither 0 nor 1");
        }
    }
}
