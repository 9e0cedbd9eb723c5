package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DrainTest {
    private final Drain<String> drain = new Drain<>(5000);

    @Test
    void acceptsStreamsInTransitThenRefusesStreamsAfterFinalGoAway() {
        assertTrue(drain.sessionOpened("session"));
        assertTrue(drain.acceptStream("session", 1));
        assertTrue(drain.begin(0));
        assertFalse(drain.begin(1));
        assertTrue(drain.acceptStream("session", 3)); // the stream was in transit when the drain began
        assertFalse(drain.sessionOpened("opened during drain"));
        assertEquals(Drain.Stage.ANNOUNCED, drain.advance(100));
        assertEquals(Drain.Stage.SENDING_FINAL_GOAWAYS, drain.advance(200));
        assertEquals(3, drain.beginFinalGoAway("session"));
        assertEquals(Drain.NOT_DUE, drain.beginFinalGoAway("session"));
        assertFalse(drain.acceptStream("session", 5));
        drain.streamClosed("session");
        assertEquals(Drain.Stage.SENDING_FINAL_GOAWAYS, drain.advance(300));
        drain.streamClosed("session");
        assertEquals(Drain.Stage.COMPLETED, drain.advance(301));
        assertEquals(2, drain.finished());
        assertEquals(1, drain.refused());
    }

    /** One client answers the PING late, another client answers no PING at all. */
    @Test
    void delaysFinalGoAwayUntilPingIsAnsweredOrHalfOfLimit() {
        drain.sessionOpened("slow");
        drain.sessionOpened("mute");
        drain.begin(0);
        drain.pingSent("slow");
        drain.pingSent("mute");
        assertEquals(
                Drain.Stage.SENDING_FINAL_GOAWAYS,
                drain.advance(200)); // the drain waits for the PINGs although no stream is active
        assertEquals(Drain.NOT_DUE, drain.beginFinalGoAway("slow"));
        assertTrue(drain.acceptStream("slow", 7));
        drain.pingAnswered("slow");
        assertEquals(7, drain.beginFinalGoAway("slow"));
        drain.streamClosed("slow");
        assertEquals(Drain.Stage.SENDING_FINAL_GOAWAYS, drain.advance(2499));
        assertEquals(Drain.NOT_DUE, drain.beginFinalGoAway("mute"));
        assertEquals(
                Drain.Stage.COMPLETED,
                drain.advance(2500)); // the drain waits for unanswered PINGs until half of its limit
        assertEquals(0, drain.beginFinalGoAway("mute"));
    }

    @Test
    void completesAtLimitWithActiveStreams() {
        Drain<String> shortDrain = new Drain<>(1000);
        shortDrain.sessionOpened("session");
        shortDrain.acceptStream("session", 1);
        shortDrain.begin(0);
        assertEquals(Drain.Stage.SENDING_FINAL_GOAWAYS, shortDrain.advance(999));
        assertEquals(Drain.Stage.COMPLETED, shortDrain.advance(1000));
        assertEquals(1, shortDrain.activeStreams());
        assertFalse(shortDrain.acceptStream("session", 3));
    }

    @Test
    void forgetsStreamsOfClosedSession() {
        drain.sessionOpened("session");
        drain.acceptStream("session", 1);
        drain.sessionClosed("session");
        drain.streamClosed("session"); // a stream's end may be reported after its session's
        drain.begin(0);
        assertEquals(Drain.Stage.COMPLETED, drain.advance(200));
    }

    @Test
    void servesNewSessionsAfterCancelButRefusesStreamsAfterFinalGoAway() {
        drain.sessionOpened("named");
        drain.acceptStream("named", 1);
        drain.begin(0);
        drain.advance(200);
        drain.beginFinalGoAway("named");
        drain.cancel();
        assertTrue(drain.sessionOpened("new"));
        assertTrue(drain.acceptStream("new", 1));
        assertFalse(
                drain.acceptStream("named", 3)); // the final GOAWAY has told the client that stream 3 is not processed
        assertTrue(drain.begin(1000)); // a drain can begin again after a cancelled one
    }
}
