package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class HostIdAllocatorTest {
    private static final int MIN_RETAINED_HOSTS = 1024;

    private final HostIdAllocator hostIds = new HostIdAllocator();

    private int assignAndList(String host) {
        int id = hostIds.assign(host);
        hostIds.markListed(id);
        return id;
    }

    @Test
    void keepsTheIdOfAHostThatReturnsSoon() {
        int id = assignAndList("s-1");
        hostIds.markRemoved(id);
        assertEquals(0, hostIds.countRemovedBeyondLimit());
        assertEquals(id, assignAndList("s-1"));
        assertEquals(List.of(), hostIds.removedIds());
    }

    @Test
    void returnsTheLongestRemovedHostFirst() {
        for (int host = 0; host <= MIN_RETAINED_HOSTS; host++) {
            hostIds.markRemoved(assignAndList("s-" + host));
        }
        assertEquals(1, hostIds.countRemovedBeyondLimit());
        assertEquals(0, hostIds.removedIds().get(0));
        hostIds.release(0);
        assertEquals(0, hostIds.countRemovedBeyondLimit());
        assertEquals(1, hostIds.removedIds().get(0));
    }

    @Test
    void keepsAsManyRemovedHostsAsAreListed() {
        for (int host = 0; host < 2 * MIN_RETAINED_HOSTS; host++) {
            assignAndList("alive-" + host);
        }
        for (int host = 0; host < 2 * MIN_RETAINED_HOSTS; host++) {
            hostIds.markRemoved(assignAndList("gone-" + host));
        }
        assertEquals(0, hostIds.countRemovedBeyondLimit());
    }

    @Test
    void assignsAReleasedIdToTheNextHostAndForgetsTheFormerHost() {
        int formerId = assignAndList("s-1");
        assignAndList("s-2");
        hostIds.markRemoved(formerId);
        hostIds.release(formerId);
        assertEquals(OptionalInt.empty(), hostIds.findId("s-1"));
        assertEquals(formerId, assignAndList("s-3"));
        assertEquals("s-3", hostIds.name(formerId));
        assertNotEquals(formerId, assignAndList("s-1"));
    }

    @Test
    void marksHostsMissingFromACompleteListAsRemoved() {
        for (int host = 0; host <= MIN_RETAINED_HOSTS; host++) {
            assignAndList("s-" + host);
        }
        hostIds.beginList();
        int newId = assignAndList("other");
        hostIds.endCompleteList();
        assertEquals(1, hostIds.countRemovedBeyondLimit());
        assertEquals(MIN_RETAINED_HOSTS + 1, hostIds.removedIds().size());
        assertFalse(hostIds.removedIds().contains(newId));
    }
}
