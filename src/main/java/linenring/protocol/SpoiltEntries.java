package linenring.protocol;

import java.util.List;

/** Entries of a list that could not be used: how many, and the reasons of the first few, so that its size is bounded. */
public record SpoiltEntries(int size, List<String> firstReasons) {
    /** So many reasons are kept: enough to find the cause, and to fit a log line. */
    static final int REASONS_MOST = 3;

    public static final SpoiltEntries NONE = new SpoiltEntries(0, List.of());

    public SpoiltEntries {
        firstReasons = List.copyOf(firstReasons);
    }

    /** One entry for each reason. */
    public static SpoiltEntries of(List<String> reasons) {
        return new SpoiltEntries(reasons.size(), reasons.subList(0, Math.min(REASONS_MOST, reasons.size())));
    }

    public boolean isEmpty() {
        return size == 0;
    }
}
