package linenring.scale.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;

/** The processor time of a sweep by the threads of a real controller; threads that hardly ran are added up. */
final class ThreadTable {
    /** The share of a core, at any size, from which a thread is shown by itself. */
    private static final double MIN_SHARE = 0.0005;

    private static final double PERCENT = 100;

    private final List<Point> measured;
    private final List<String> threads;

    ThreadTable(MeasuredSweep sweep) {
        measured = sweep.points().stream()
                .filter(point ->
                        point.real() != null && !point.real().shareByThread().isEmpty())
                .toList();
        threads = busiestFirst();
    }

    boolean isEmpty() {
        return measured.isEmpty();
    }

    private List<String> busiestFirst() {
        Map<String, Double> highestShares = measured.stream()
                .flatMap(point -> point.real().shareByThread().entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Math::max));
        return highestShares.entrySet().stream()
                .filter(thread -> thread.getValue() >= MIN_SHARE)
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The table; {@code sizeHeading} is the heading of the sizes. */
    String markdown(String sizeHeading) {
        List<String> headings = new ArrayList<>(List.of(sizeHeading));
        headings.addAll(threads);
        headings.add("other threads");
        MarkdownTable table = new MarkdownTable(headings);
        measured.forEach(point -> table.row(cells(point)));
        return table.toString();
    }

    private List<String> cells(Point point) {
        List<String> cells = new ArrayList<>(List.of(MarkdownTable.number(point.size())));
        for (String thread : threads) {
            cells.add(
                    MarkdownTable.number(PERCENT * point.real().shareByThread().getOrDefault(thread, 0.0)));
        }
        cells.add(MarkdownTable.number(PERCENT * others(point.real())));
        return cells;
    }

    private double others(Usage usage) {
        return usage.shareByThread().entrySet().stream()
                .filter(thread -> !threads.contains(thread.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }
}
