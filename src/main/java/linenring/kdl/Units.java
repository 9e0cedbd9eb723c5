package linenring.kdl;

/** Durations, sizes and percentages as settings write them: a number and its unit. */
public final class Units {
    /** The pattern of a duration, as the schemas have it too. */
    public static final String DURATION = "^[0-9]+(\\.[0-9]+)?(ms|s|min|h)$";

    private static final double SECOND_MS = 1000;
    private static final double MINUTE_MS = 60 * SECOND_MS;
    private static final double HOUR_MS = 60 * MINUTE_MS;
    private static final long KIBIBYTE = 1L << 10;
    private static final long MEBIBYTE = 1L << 20;
    private static final long GIBIBYTE = 1L << 30;
    private static final double PERCENT = 100;

    private Units() {}

    private static int unitStart(String text) {
        int start = 0;
        while (start < text.length() && (Character.isDigit(text.charAt(start)) || text.charAt(start) == '.')) {
            start++;
        }
        return start;
    }

    /** Milliseconds; the text must match {@link #DURATION}. */
    public static double millis(String text) {
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

    /** Bytes; the text must be a whole number and B, KiB, MiB or GiB, as a schema has checked. */
    public static long bytes(String text) {
        int unitStart = unitStart(text);
        long unitBytes = switch (text.substring(unitStart)) {
            case "B" -> 1;
            case "KiB" -> KIBIBYTE;
            case "MiB" -> MEBIBYTE;
            default -> GIBIBYTE;
        };
        return Math.multiplyExact(Long.parseLong(text.substring(0, unitStart)), unitBytes);
    }

    /** A fraction of 1; the text must be a number and %, as a schema has checked. */
    public static double share(String text) {
        return Double.parseDouble(text.substring(0, text.length() - 1)) / PERCENT;
    }
}
