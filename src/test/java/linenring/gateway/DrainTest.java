package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DrainTest {
    private final Drain<String> drain = new Drain<>(5000);

    @Test
    void acceptsStreamsOnTheirWayThenNamesLastOneAndRefusesTheRest() {
        assertTrue(drain.sessionOpened("session"));
        assertTrue(drain.acceptStream("session", 1));
        assertTrue(drain.begin(0));
        assertFalse(drain.begin(1));
        assertTrue(drain.acceptStream("session", 3)); // sent before the client knew
        assertFalse(drain.sessionOpened("late"));
        assertEquals(Drain.Stage.ANNOUNCED, drain.advance(100));
        assertEquals(Drain.Stage.NAMING_LAST_STREAMS, drain.advance(200));
        assertEquals(3, drain.nameLastStream("session"));
        assertEquals(Drain.NOT_NOW, drain.nameLastStream("session"));
        assertFalse(drain.acceptStream("session", 5));
        drain.streamClosed("session");
        assertEquals(Drain.Stage.NAMING_LAST_STREAMS, drain.advance(300));
        drain.streamClosed("session");
        assertEquals(Drain.Stage.OVER, drain.advance(301));
        assertEquals(2, drain.finished());
        assertEquals(1, drain.refused());
    }

    /** One client reads of the drain late, one answers no PING at all. */
    @Test
    void namesNoLastStreamToClientThatMayNotKnowAndWaitsForItHalfOfLimit() {
        drain.sessionOpened("slow");
        drain.sessionOpened("mute");
        drain.begin(0);
        drain.pingSent("slow");
        drain.pingSent("mute");
        assertEquals(Drain.Stage.NAMING_LAST_STREAMS, drain.advance(200)); // though nothing is active
        assertEquals(Drain.NOT_NOW, drain.nameLastStream("slow"));
        assertTrue(drain.acceptStream("slow", 7));
        drain.pingAnswered("slow");
        assertEquals(7, drain.nameLastStream("slow"));
        drain.streamClosed("slow");
        assertEquals(Drain.Stage.NAMING_LAST_STREAMS, drain.advance(2499));
        assertEquals(Drain.NOT_NOW, drain.nameLastStream("mute"));
        assertEquals(Drain.Stage.OVER, drain.advance(2500)); // a mute client is waited for until here
        assertEquals(0, drain.nameLastStream("mute"));
    }

    @Test
    void isOverAtItsLimitWhateverIsActive() {
        Drain<String> shortDrain = new Drain<>(1000);
        shortDrain.sessionOpened("session");
        shortDrain.acceptStream("session", 1);
        shortDrain.begin(0);
        assertEquals(Drain.Stage.NAMING_LAST_STREAMS, shortDrain.advance(999));
        assertEquals(Drain.Stage.OVER, shortDrain.advance(1000));
        assertEquals(1, shortDrain.activeStreams());
        assertFalse(shortDrain.acceptStream("session", 3));
    }

    @Test
    void forgetsStreamsOfClosedSession() {
        drain.sessionOpened("session");
        drain.acceptStream("session", 1);
        drain.sessionClosed("session");
        drain.streamClosed("session"); // the end of its stream is reported late
        drain.begin(0);
        assertEquals(Drain.Stage.OVER, drain.advance(200));
    }

    @Test
    void servesNewSessionsAfterCancelAndRefusesThoseWhoseLastStreamWasNamed() {
        drain.sessionOpened("named");
        drain.acceptStream("named", 1);
        drain.begin(0);
        drain.advance(200);
        drain.nameLastStream("named");
        drain.cancel();
        assertTrue(drain.sessionOpened("new"));
        assertTrue(drain.acceptStream("new", 1));
        assertFalse(drain.acceptStream("named", 3)); // its client knows that this one is not processed
        assertTrue(drain.begin(1000)); // and it may drain again
    }
}
