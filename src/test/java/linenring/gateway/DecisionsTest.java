package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import linenring.gateway.settings.GatewaySettings.Route;
import org.junit.jupiter.api.Test;

/** What a front decides without any socket: routes, room, kept bodies, the drain. */
class DecisionsTest {
    @Test
    void theLongestPrefixOfWholeSegmentsCounts() {
        Routes r =
                new Routes(List.of(new Route("GET", "/a", 0), new Route("GET", "/a/b", 1), new Route("GET", "/c/", 2)));
        assertEquals(0, r.operation("GET", "/a"));
        assertEquals(0, r.operation("GET", "/a/x/y"));
        assertEquals(1, r.operation("GET", "/a/b/x?q=/c/"));
        assertEquals(Routes.NONE, r.operation("GET", "/ab"));
        assertEquals(2, r.operation("GET", "/c/d"));
        assertEquals(Routes.NONE, r.operation("GET", "/c"));
        assertEquals(Routes.NONE, r.operation("POST", "/a"));
        assertEquals(Routes.NONE, r.operation("CONNECT", null));
    }

    @Test
    void aBodyIsKeptUpToItsBoundAndThatOfAll() {
        BufferBudget room = new BufferBudget(10);
        RetainedBody one = new RetainedBody(8, room), other = new RetainedBody(8, room);
        one.add(ByteBuffer.wrap(new byte[] {1, 2, 3}), false);
        one.add(ByteBuffer.wrap(new byte[] {4, 5}), true);
        assertTrue(one.isWhole() && one.hasEnded());
        assertArrayEquals(new byte[] {1, 2, 3, 4, 5}, one.bytes());
        other.add(ByteBuffer.wrap(new byte[6]), false); // 5 of 10 are left
        assertFalse(other.isWhole());
        assertEquals(5, room.taken());
        one.add(ByteBuffer.wrap(new byte[4]), false);
        assertFalse(one.isWhole());
        assertEquals(0, room.taken());
    }

    @Test
    void aDrainAcceptsWhatIsOnItsWayThenNamesTheLastAndRefusesTheRest() {
        Drain<String> d = new Drain<>(5000);
        assertTrue(d.opened("s"));
        assertTrue(d.accepts("s", 1));
        assertTrue(d.begin(0));
        assertFalse(d.begin(1));
        assertTrue(d.accepts("s", 3)); // sent before the client knew
        assertFalse(d.opened("late"));
        assertEquals(Drain.Stage.ANNOUNCED, d.step(100));
        assertEquals(Drain.Stage.LAST_NAMED, d.step(200));
        assertEquals(3, d.nameLast("s"));
        assertEquals(Drain.NAMED, d.nameLast("s"));
        assertFalse(d.accepts("s", 5));
        d.done("s");
        assertEquals(Drain.Stage.LAST_NAMED, d.step(300));
        d.done("s");
        assertEquals(Drain.Stage.OVER, d.step(301));
        assertEquals(2, d.finished());
        assertEquals(1, d.refused());
    }

    @Test
    void aDrainNamesNoLastStreamToAClientThatMayNotKnowYetAndWaitsForItHalfOfItsBound() {
        Drain<String> d = new Drain<>(5000);
        d.opened("slow");
        d.opened("mute");
        d.begin(0);
        d.asked("slow");
        d.asked("mute");
        assertEquals(Drain.Stage.LAST_NAMED, d.step(200)); // though nothing runs
        assertEquals(Drain.NAMED, d.nameLast("slow"));
        assertTrue(d.accepts("slow", 7));
        d.heard("slow");
        assertEquals(7, d.nameLast("slow"));
        d.done("slow");
        assertEquals(Drain.Stage.LAST_NAMED, d.step(2499));
        assertEquals(Drain.NAMED, d.nameLast("mute"));
        assertEquals(Drain.Stage.OVER, d.step(2500)); // who answers no PING is waited for so long
        assertEquals(0, d.nameLast("mute"));
    }

    @Test
    void aDrainIsOverAtItsBoundWhateverRuns() {
        Drain<String> d = new Drain<>(1000);
        d.opened("s");
        d.accepts("s", 1);
        d.begin(0);
        assertEquals(Drain.Stage.LAST_NAMED, d.step(999));
        assertEquals(Drain.Stage.OVER, d.step(1000));
        assertEquals(1, d.running());
        assertFalse(d.accepts("s", 3));
    }

    @Test
    void aSessionThatClosesTakesItsStreamsAlong() {
        Drain<String> d = new Drain<>(5000);
        d.opened("s");
        d.accepts("s", 1);
        d.closed("s");
        d.done("s"); // its stream's end is told late
        d.begin(0);
        assertEquals(Drain.Stage.OVER, d.step(200));
    }

    @Test
    void aDrainThatIsCalledOffServesNewSessionsAndLeavesTheOldOnesToTheirGoAway() {
        Drain<String> d = new Drain<>(5000);
        d.opened("told");
        d.accepts("told", 1);
        d.begin(0);
        d.step(200);
        d.nameLast("told");
        d.resume();
        assertTrue(d.opened("new"));
        assertTrue(d.accepts("new", 1));
        assertFalse(d.accepts("told", 3)); // its client was told that this one is not processed
        assertTrue(d.begin(1000)); // and it may drain again
    }
}
