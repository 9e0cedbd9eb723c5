package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class HostIdAllocatorTest {
    private static final int RETAINED = 1024;

    private final HostIdAllocator ids = new HostIdAllocator();

    private int list(String host) {
        int id = ids.assign(host);
        ids.markListed(id);
        return id;
    }

    @Test
    void keepsTheIdOfAHostThatReturnsSoon() {
        int id = list("s-1");
        ids.markRemoved(id);
        assertEquals(0, ids.surplus());
        assertEquals(id, list("s-1"));
        assertEquals(List.of(), ids.removed());
    }

    @Test
    void namesTheLongestRemovedHostFirst() {
        for (int host = 0; host <= RETAINED; host++) {
            ids.markRemoved(list("s-" + host));
        }
        assertEquals(1, ids.surplus());
        assertEquals(0, ids.removed().get(0));
        ids.release(0);
        assertEquals(0, ids.surplus());
        assertEquals(1, ids.removed().get(0));
    }

    @Test
    void keepsAsManyRemovedHostsAsAreListed() {
        for (int host = 0; host < 2 * RETAINED; host++) {
            list("alive-" + host);
        }
        for (int host = 0; host < 2 * RETAINED; host++) {
            ids.markRemoved(list("gone-" + host));
        }
        assertEquals(0, ids.surplus());
    }

    @Test
    void givesAReleasedIdToTheNextHostAndForgetsTheFormer() {
        int former = list("s-1");
        list("s-2");
        ids.markRemoved(former);
        ids.release(former);
        assertEquals(OptionalInt.empty(), ids.find("s-1"));
        assertEquals(former, list("s-3"));
        assertEquals("s-3", ids.name(former));
        assertNotEquals(former, list("s-1"));
    }

    @Test
    void takesWhomAWholeListDoesNotNameAsRemoved() {
        for (int host = 0; host <= RETAINED; host++) {
            list("s-" + host);
        }
        ids.beginList();
        int other = list("other");
        ids.endCompleteList();
        assertEquals(1, ids.surplus());
        assertEquals(RETAINED + 1, ids.removed().size());
        assertFalse(ids.removed().contains(other));
    }
}
