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

    /** Formats a number with three significant digits, a whole number with all digits, and NaN as an empty cell. */
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

    /** Formats a fraction as a percentage with its sign; NaN and infinity give an empty cell. */
    static String signedPercent(double fraction) {
        return Double.isNaN(fraction) || Double.isInfinite(fraction)
                ? ABSENT
                : String.format(Locale.ROOT, "%+.1f%%", PERCENT * fraction);
    }

    /** Escapes text so that it cannot end a cell; null gives an empty cell. */
    static String text(String content) {
        return content == null ? ABSENT : content.replace("|", "\\|").replace("\n", " ");
    }
}
