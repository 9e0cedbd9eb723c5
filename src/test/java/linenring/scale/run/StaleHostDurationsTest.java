package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

class StaleHostDurationsTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final StaleHostDurations stale = new StaleHostDurations();

    @Test
    void reportsTheLongestUninterruptedDurationOfOneHost() {
        stale.add(Set.of("s-1"), 0);
        stale.add(Set.of("s-1", "s-2"), SECOND_NANOS);
        stale.add(Set.of("s-2"), 2 * SECOND_NANOS);
        stale.add(Set.of("s-2", "s-1"), 3 * SECOND_NANOS); // s-1 is stale again, which starts a new period
        stale.add(Set.of("s-1"), 4 * SECOND_NANOS);
        stale.add(Set.of(), 5 * SECOND_NANOS);
        assertEquals(3, stale.longestSeconds()); // s-2 was stale from 1 s to 4 s
    }

    @Test
    void isZeroIfNoHostWasStale() {
        stale.add(Set.of(), 0);
        stale.add(Set.of(), SECOND_NANOS);
        assertEquals(0, stale.longestSeconds());
    }
}
