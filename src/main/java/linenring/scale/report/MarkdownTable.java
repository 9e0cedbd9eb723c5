package linenring.scale.report;

import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** Builds a Markdown table row by row. */
final class MarkdownTable {
    private static final String ABSENT = "";

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

    /** A figure to three digits, a whole number as such; nothing for NaN. */
    static String figure(double value) {
        if (Double.isNaN(value)) {
            return ABSENT;
        }
        if (value == Math.rint(value) || Math.abs(value) >= 100) {
            return String.format(Locale.ROOT, "%,d", Math.round(value));
        }
        int decimals = Math.abs(value) >= 10 ? 1 : Math.abs(value) >= 1 ? 2 : 3;
        return String.format(Locale.ROOT, "%." + decimals + "f", value);
    }

    /** A part of 1 in percent with its sign. */
    static String signedPercent(double part) {
        return Double.isNaN(part) || Double.isInfinite(part)
                ? ABSENT
                : String.format(Locale.ROOT, "%+.1f%%", 100 * part);
    }

    /** Text that cannot end a cell. */
    static String text(String words) {
        return words == null ? ABSENT : words.replace("|", "\\|").replace("\n", " ");
    }
}
