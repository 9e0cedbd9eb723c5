package linenring.controller;

import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** The shared endpoint tables by table number. Owned by the control loop's thread. */
final class PublishedTables {
    private final int operationCount;
    private final TreeMap<Integer, PublishedTable> tables = new TreeMap<>();

    PublishedTables(int operationCount) {
        this.operationCount = operationCount;
    }

    /** Returns the table with this number, and creates it on first use. */
    PublishedTable get(int number) {
        return tables.computeIfAbsent(number, ignored -> new PublishedTable(operationCount));
    }

    /** Returns the distinct hosts of all tables whose numbers pass the test, in order of table number and host id. */
    IntStream distinctHosts(IntPredicate isSelected) {
        return tables.entrySet().stream()
                .filter(entry -> isSelected.test(entry.getKey()))
                .flatMap(entry -> entry.getValue().hosts().stream())
                .distinct()
                .mapToInt(Integer::intValue);
    }

    /**
     * Marks all changes as sent, and drops empty unused tables; otherwise memory would grow with every table number ever used.
     */
    void markPublished(IntPredicate isUsed) {
        tables.values().forEach(PublishedTable::markPublished);
        tables.entrySet().removeIf(entry -> entry.getValue().isEmpty() && !isUsed.test(entry.getKey()));
    }
}
