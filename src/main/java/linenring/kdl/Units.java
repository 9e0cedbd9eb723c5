package linenring.kdl;

/** Parses durations, sizes and percentages in settings, which are written as a number with a unit. */
public final class Units {
    /** Regular expression of a duration; the JSON Schemas contain the same pattern. */
    public static final String DURATION_PATTERN = "^[0-9]+(\\.[0-9]+)?(ms|s|min|h)$";

    private static final double SECOND_MS = 1000;
    private static final double MINUTE_MS = 60 * SECOND_MS;
    private static final double HOUR_MS = 60 * MINUTE_MS;
    private static final long KIBIBYTE_BYTES = 1L << 10;
    private static final long MEBIBYTE_BYTES = 1L << 20;
    private static final long GIBIBYTE_BYTES = 1L << 30;
    private static final double PERCENT_PER_UNIT = 100;

    private Units() {}

    private static int unitStart(String text) {
        int start = 0;
        while (start < text.length() && (Character.isDigit(text.charAt(start)) || text.charAt(start) == '.')) {
            start++;
        }
        return start;
    }

    /** Parses a duration, which must match {@link #DURATION_PATTERN}, and returns it in milliseconds. */
    public static double parseDurationMs(String text) {
        int unitStart = unitStart(text);
        double number = Double.parseDouble(text.substring(0, unitStart));
        double unitMs = switch (text.substring(unitStart)) {
            case "ms" -> 1;
            case "s" -> SECOND_MS;
            case "min" -> MINUTE_MS;
            default -> HOUR_MS;
        };
        return number * unitMs;
    }

    /** Parses a size to bytes. The text must be an integer followed by B, KiB, MiB or GiB; the schema validates this. */
    public static long parseSizeBytes(String text) {
        int unitStart = unitStart(text);
        long unitBytes = switch (text.substring(unitStart)) {
            case "B" -> 1;
            case "KiB" -> KIBIBYTE_BYTES;
            case "MiB" -> MEBIBYTE_BYTES;
            default -> GIBIBYTE_BYTES;
        };
        return Math.multiplyExact(Long.parseLong(text.substring(0, unitStart)), unitBytes);
    }

    /** Parses a percentage to a fraction of 1. The text must be a number followed by %; the schema validates this. */
    public static double parsePercentage(String text) {
        return Double.parseDouble(text.substring(0, text.length() - 1)) / PERCENT_PER_UNIT;
    }
}
