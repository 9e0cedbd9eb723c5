package linenring.scale.report;

import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Builds a Markdown table row by row. */
final class MarkdownTable {
    private static final String ABSENT = "";
    private static final double PERCENT = 100;

    private final StringBuilder text = new StringBuilder();

    MarkdownTable(List<String> headings) {
        row(headings);
        row(Collections.nCopies(headings.size(), "---"));
    }

    void row(List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    @Override
    public String toString() {
        return text.toString();
    }

    /** A number to three digits, a whole number as such; nothing for NaN. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return ABSENT;
        }
        double magnitude = Math.abs(value);
        if (value == Math.rint(value) || magnitude >= 100) {
            return String.format(Locale.ROOT, "%,d", Math.round(value));
        }
        int decimals = magnitude >= 1 ? 2 : 3;
        if (magnitude >= 10) {
            decimals = 1;
        }
        return String.format(Locale.ROOT, "%." + decimals + "f", value);
    }

    /** A fraction of 1 in percent with its sign; nothing if there is none. */
    static String signedPercent(double fraction) {
        return Double.isNaN(fraction) || Double.isInfinite(fraction)
                ? ABSENT
                : String.format(Locale.ROOT, "%+.1f%%", PERCENT * fraction);
    }

    /** Text that cannot end a cell; nothing for null. */
    static String text(String content) {
        return content == null ? ABSENT : content.replace("|", "\\|").replace("\n", " ");
    }
}
