package linenring.protocol;

import java.util.List;

/** Entries of a host list that could not be used: how many, and the reasons of the first few, so that its size is bounded. */
public record InvalidEntries(int count, List<String> firstReasons) {
    /** No entry was invalid. */
    public static final InvalidEntries NONE = new InvalidEntries(0, List.of());

    /** The number of reasons that are kept: enough to find the cause, and to fit a log line. */
    static final int MAX_REASONS = 3;

    /** Copies the reasons. */
    public InvalidEntries {
        firstReasons = List.copyOf(firstReasons);
    }

    /** One entry for each reason. */
    public static InvalidEntries of(List<String> reasons) {
        return new InvalidEntries(reasons.size(), reasons.subList(0, Math.min(MAX_REASONS, reasons.size())));
    }

    /** Whether no entry was invalid. */
    public boolean isEmpty() {
        return count == 0;
    }
}
