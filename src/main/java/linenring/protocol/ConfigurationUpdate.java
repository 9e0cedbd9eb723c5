package linenring.protocol;

import java.util.List;

/** One message to one proxy: its parts stand on lines of their own and take effect together. */
public record ConfigurationUpdate(List<Part> parts) {
    /** More are not understood as one message. */
    public static final int PARTS_MOST = 64;

    /** Asks for no answer. */
    public static final int NO_MARK = -1;

    /** One line of a table. */
    public record Line(String host, double weight) {}

    /** How much is let in, and the way to try again (0 to 3). */
    public record Level(double admissionRatio, int tries) {}

    /**
     * One part. {@code operations}: names of those meant, empty for all. {@code whole}: the lines are the whole
     * table, and levels are forgotten. {@code level}: null where none is told.
     */
    public record Part(
            List<String> operations,
            boolean whole,
            List<Line> lines,
            Level level,
            List<String> ejected,
            List<String> restored,
            int mark) {
        int count() {
            return (whole ? 1 : 0) + lines.size() + (level == null ? 0 : 1) + ejected.size() + restored.size();
        }
    }

    /** How many lines it counts beside its head and mark: so many are said, whatever they are about. */
    public int lineCount() {
        return parts.stream().mapToInt(Part::count).sum();
    }
}
