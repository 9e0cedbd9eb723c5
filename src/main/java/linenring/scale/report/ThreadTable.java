package linenring.scale.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import linenring.scale.measurement.MeasuredSweep;
import linenring.scale.measurement.Point;
import linenring.scale.measurement.Usage;

/** Which threads of a real steward a sweep's processor time went to; threads that hardly ran are shown as one. */
final class ThreadTable {
    private static final double LEAST_SHARE = 0.0005; // of a core, at any size: less is shown with the others
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
        Map<String, Double> most = measured.stream()
                .flatMap(point -> point.real().shareByThread().entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Math::max));
        return most.entrySet().stream()
                .filter(thread -> thread.getValue() >= LEAST_SHARE)
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The table; {@code sizeHeading} stands over the sizes. */
    String markdown(String sizeHeading) {
        List<String> headings = new ArrayList<>(List.of(sizeHeading));
        headings.addAll(threads);
        headings.add("other threads");
        MarkdownTable table = new MarkdownTable(headings);
        measured.forEach(point -> table.row(cells(point)));
        return table.toString();
    }

    private List<String> cells(Point point) {
        List<String> cells = new ArrayList<>(List.of(MarkdownTable.figure(point.size())));
        for (String thread : threads) {
            cells.add(
                    MarkdownTable.figure(PERCENT * point.real().shareByThread().getOrDefault(thread, 0.0)));
        }
        cells.add(MarkdownTable.figure(PERCENT * others(point.real())));
        return cells;
    }

    private double others(Usage usage) {
        return usage.shareByThread().entrySet().stream()
                .filter(thread -> !threads.contains(thread.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }
}
