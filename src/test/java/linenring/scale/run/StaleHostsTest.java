package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

class StaleHostsTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final StaleHosts stale = new StaleHosts();

    @Test
    void reportsTheLongestTimeOfOneHost() {
        stale.add(Set.of("s-1"), 0);
        stale.add(Set.of("s-1", "s-2"), SECOND_NANOS);
        stale.add(Set.of("s-2"), 2 * SECOND_NANOS);
        stale.add(Set.of("s-2", "s-1"), 3 * SECOND_NANOS); // again, which starts a new time
        stale.add(Set.of("s-1"), 4 * SECOND_NANOS);
        stale.add(Set.of(), 5 * SECOND_NANOS);
        assertEquals(3, stale.longestSeconds()); // s-2, from 1 to 4
    }

    @Test
    void isZeroIfNoHostWasStale() {
        stale.add(Set.of(), 0);
        stale.add(Set.of(), SECOND_NANOS);
        assertEquals(0, stale.longestSeconds());
    }
}
