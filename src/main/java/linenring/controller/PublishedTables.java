package linenring.controller;

import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** The shared tables by their numbers. Owned by the control loop's thread. */
final class PublishedTables {
    private final int operations;
    private final TreeMap<Integer, PublishedTable> tables = new TreeMap<>();

    PublishedTables(int operations) {
        this.operations = operations;
    }

    /** The table with this number; it is created when it is first named. */
    PublishedTable get(int number) {
        return tables.computeIfAbsent(number, ignored -> new PublishedTable(operations));
    }

    /** The hosts of all tables whose numbers pass the test, each once, by table and id. */
    IntStream hostsOf(IntPredicate isMeant) {
        return tables.entrySet().stream()
                .filter(entry -> isMeant.test(entry.getKey()))
                .flatMap(entry -> entry.getValue().hosts().stream())
                .distinct()
                .mapToInt(Integer::intValue);
    }

    /** All changes have been sent; empty tables that nobody uses are dropped, or each number ever used would keep one. */
    void markPublished(IntPredicate isUsed) {
        tables.values().forEach(PublishedTable::markPublished);
        tables.entrySet().removeIf(entry -> entry.getValue().isEmpty() && !isUsed.test(entry.getKey()));
    }
}
