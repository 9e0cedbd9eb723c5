package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

class StaleHostsTest {
    private static final long SECOND = 1_000_000_000;

    private final StaleHosts stale = new StaleHosts();

    @Test
    void tellsTheLongestOfAnyOneHost() {
        stale.seen(Set.of("s-1"), 0);
        stale.seen(Set.of("s-1", "s-2"), SECOND);
        stale.seen(Set.of("s-2"), 2 * SECOND);
        stale.seen(Set.of("s-2", "s-1"), 3 * SECOND); // again, which counts anew
        stale.seen(Set.of("s-1"), 4 * SECOND);
        stale.seen(Set.of(), 5 * SECOND);
        assertEquals(3, stale.longestSeconds()); // s-2, from 1 to 4
    }

    @Test
    void isNothingWhereNoneWasStale() {
        stale.seen(Set.of(), 0);
        stale.seen(Set.of(), SECOND);
        assertEquals(0, stale.longestSeconds());
    }
}
