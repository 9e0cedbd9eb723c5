package linenring.protocol;

import java.util.List;

/** The number of invalid entries in a host list, with the reasons for only the first of them, so that the size is bounded. */
public record InvalidEntries(int count, List<String> firstReasons) {
    /** The value for a list without invalid entries. */
    public static final InvalidEntries NONE = new InvalidEntries(0, List.of());

    /** Maximum number of reasons: enough to find the cause, and few enough for a log line. */
    static final int MAX_REASONS = 3;

    /** Creates a value with a copy of the reasons. */
    public InvalidEntries {
        firstReasons = List.copyOf(firstReasons);
    }

    /** Returns a value that counts one invalid entry for each reason. */
    public static InvalidEntries of(List<String> reasons) {
        return new InvalidEntries(reasons.size(), reasons.subList(0, Math.min(MAX_REASONS, reasons.size())));
    }

    /** Whether no entry was invalid. */
    public boolean isEmpty() {
        return count == 0;
    }
}
