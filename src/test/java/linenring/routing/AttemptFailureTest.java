package linenring.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptFailureTest {
    /**
     * A refused stream proves that the request was not executed, unless the answer has already started: then the host
     * has executed the request.
     */
    @Test
    void refusedStreamProvesThatNothingWasExecutedUnlessAnswerStarted() {
        assertTrue(AttemptFailure.reset(true, false).isProvenNotExecuted());
        assertFalse(AttemptFailure.reset(true, true).isProvenNotExecuted());
        assertFalse(AttemptFailure.reset(false, false).isProvenNotExecuted());
    }

    @Test
    void lostConnectionProvesNothingUnlessGoAwayExcludesStream() {
        assertTrue(AttemptFailure.connectionLost(true).isProvenNotExecuted());
        assertFalse(AttemptFailure.connectionLost(false).isProvenNotExecuted());
    }

    @Test
    void timeoutProvesThatNothingWasExecutedWhenNothingWasSent() {
        assertTrue(AttemptFailure.timedOut(false).isProvenNotExecuted());
        assertFalse(AttemptFailure.timedOut(true).isProvenNotExecuted());
    }

    @Test
    void countsAgainstHostUnlessHostShutsDownGracefully() {
        assertFalse(AttemptFailure.connectionLost(true).countsAgainstHost());
        assertTrue(AttemptFailure.connectionLost(false).countsAgainstHost());
        assertTrue(AttemptFailure.neverSent().countsAgainstHost());
        assertTrue(AttemptFailure.answeredErrored().countsAgainstHost());
    }
}
