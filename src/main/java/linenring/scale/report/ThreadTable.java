package linenring.scale.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;

/** Renders the processor time of a real controller by thread, for each size of a sweep; threads with little time are summed. */
final class ThreadTable {
    /** Share of a core that a thread must reach at any size to get its own column. */
    private static final double MIN_SHARE = 0.0005;

    private static final double PERCENT = 100;

    private final List<Point> measuredPoints;
    private final List<String> threads;

    ThreadTable(MeasuredSweep sweep) {
        measuredPoints = sweep.points().stream()
                .filter(point ->
                        point.real() != null && !point.real().shareByThread().isEmpty())
                .toList();
        threads = busiestFirst();
    }

    boolean isEmpty() {
        return measuredPoints.isEmpty();
    }

    private List<String> busiestFirst() {
        Map<String, Double> highestShares = measuredPoints.stream()
                .flatMap(point -> point.real().shareByThread().entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Math::max));
        return highestShares.entrySet().stream()
                .filter(thread -> thread.getValue() >= MIN_SHARE)
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the table as Markdown; {@code sizeHeading} is the heading of the column of sizes. */
    String markdown(String sizeHeading) {
        List<String> headings = new ArrayList<>(List.of(sizeHeading));
        headings.addAll(threads);
        headings.add("other threads");
        MarkdownTable table = new MarkdownTable(headings);
        measuredPoints.forEach(point -> table.row(cells(point)));
        return table.toString();
    }

    private List<String> cells(Point point) {
        List<String> cells = new ArrayList<>(List.of(MarkdownTable.number(point.size())));
        for (String thread : threads) {
            cells.add(
                    MarkdownTable.number(PERCENT * point.real().shareByThread().getOrDefault(thread, 0.0)));
        }
        cells.add(MarkdownTable.number(PERCENT * otherThreadsShare(point.real())));
        return cells;
    }

    private double otherThreadsShare(Usage usage) {
        return usage.shareByThread().entrySet().stream()
                .filter(thread -> !threads.contains(thread.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }
}
