package linenring.routing;

import static linenring.routing.Fixture.ASSIGN;
import static linenring.routing.Fixture.BOOK;
import static linenring.routing.Fixture.QUOTE;
import static linenring.routing.Fixture.sentTo;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;
import linenring.routing.Attempt.Proof;
import linenring.routing.Attempt.Why;
import linenring.routing.RetryDecision.Reason;
import linenring.routing.RetryDecision.Step;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryDecisionTest {
    private static final Attempt REFUSED = new Attempt(Proof.NOT_PROCESSED, Why.REFUSED);
    private static final Attempt LOST = new Attempt(Proof.MAY_HAVE_RUN, Why.CONNECTION_LOST);
    private static final Attempt LATE = new Attempt(Proof.MAY_HAVE_RUN, Why.TIMED_OUT);
    private static final Attempt UNREACHABLE = new Attempt(Proof.NEVER_SENT, Why.UNREACHABLE);
    private static final Attempt ERRORED = new Attempt(Proof.RAN, Why.ANSWERED_ERRORED);

    private static Fixture fleet(RetryPolicy tries) {
        return new Fixture(6).whole(6, new ConfigurationUpdate.Level(1, tries.ordinal()));
    }

    private static Reason reason(Step step) {
        return assertInstanceOf(Step.GiveUp.class, step).reason();
    }

    @Test
    void aSideEffectingOneThatMayHaveRunIsAnsweredAtOnceWhateverTheOrders() {
        for (RetryPolicy orders : RetryPolicy.values()) {
            for (Attempt end : new Attempt[] {LOST, LATE}) {
                RetryDecision t = fleet(orders).tries(ASSIGN, true, 0);
                t.begin(0, true);
                assertEquals(end == LATE ? Reason.TIMED_OUT : Reason.ERRORED, reason(t.ended(end, 10, true)));
                assertInstanceOf(Step.Nothing.class, t.ended(REFUSED, 11, true)); // a late proof changes nothing
            }
        }
    }

    @Test
    void onProofThatItNeverRanEvenASideEffectingOneGoesElsewhereOnce() {
        for (Attempt end : new Attempt[] {REFUSED, UNREACHABLE, new Attempt(Proof.NOT_PROCESSED, Why.GOING_AWAY)}) {
            RetryDecision t = fleet(RetryPolicy.ONE_IF_NOT_EXECUTED).tries(ASSIGN, false, 0);
            int first = sentTo(t.begin(0, true));
            int second = sentTo(t.ended(end, 5, true));
            assertNotEquals(-1, second);
            assertNotEquals(first, second);
            assertEquals(Reason.ERRORED, reason(t.ended(end, 6, true)));
        }
    }

    /** By then it may still wait for a connection: past its window the host would not know it, and book twice. */
    @Test
    void aRepeatOfAFingerprintedOneSetsOutInsideItsWindowOrNotAtAll() {
        RetryDecision t = fleet(RetryPolicy.ONE).tries(BOOK, true, 100);
        assertEquals(
                Double.POSITIVE_INFINITY,
                assertInstanceOf(Step.Send.class, t.begin(100, true)).by());
        assertEquals(
                100 + 0.8 * 2500,
                assertInstanceOf(Step.Send.class, t.ended(LOST, 200, true)).by());
        RetryDecision quote = fleet(RetryPolicy.ONE).tries(QUOTE, false, 0);
        quote.begin(0, true);
        assertEquals(
                Double.POSITIVE_INFINITY,
                assertInstanceOf(Step.Send.class, quote.ended(LOST, 10, true)).by());
    }

    @Test
    void withoutOrdersToTryAgainAProofChangesNothing() {
        RetryDecision t = fleet(RetryPolicy.NONE).tries(QUOTE, false, 0);
        t.begin(0, true);
        assertEquals(Reason.ERRORED, reason(t.ended(REFUSED, 5, true)));
    }

    @Test
    void anIdempotentOneRunsAgainAfterAnyFailureAsOftenAsOrdered() {
        RetryDecision t = fleet(RetryPolicy.TWO).tries(QUOTE, false, 0);
        BitSet hosts = new BitSet();
        hosts.set(sentTo(t.begin(0, true)));
        hosts.set(sentTo(t.ended(LOST, 5, true)));
        hosts.set(sentTo(t.ended(ERRORED, 6, true)));
        assertEquals(3, hosts.cardinality());
        assertInstanceOf(Step.PassOn.class, t.ended(ERRORED, 7, true)); // the host's own words are the answer
        assertEquals(3, t.attempts());
    }

    @Test
    void anAttemptThatMayBeFollowedGetsSomeObjectivesAndTheLastOneAllTheTimeThereIs() {
        RetryDecision t = fleet(RetryPolicy.ONE).tries(QUOTE, false, 0);
        assertEquals(900, ((Step.Send) t.begin(0, true)).until());
        assertEquals(2000, ((Step.Send) t.ended(LATE, 900, true)).until());
        RetryDecision unsafe = fleet(RetryPolicy.ONE).tries(ASSIGN, false, 0);
        assertEquals(2000, ((Step.Send) unsafe.begin(0, true)).until());
        RetryDecision bodyGone = fleet(RetryPolicy.ONE).tries(QUOTE, false, 0);
        assertEquals(2000, ((Step.Send) bodyGone.begin(0, false)).until());
    }

    @Test
    void aFingerprintedOneRunsAgainOnlyWithItsMarkInItsGroupAndItsWindow() {
        for (int seed = 0; seed < 50; seed++) {
            Fixture f = fleet(RetryPolicy.ONE);
            f.chance.setSeed(seed);
            RetryDecision t = f.tries(BOOK, true, 0);
            int first = sentTo(t.begin(0, true));
            assertEquals(first % 2, sentTo(t.ended(LOST, 1000, true)) % 2); // zones go by turns
        }
        RetryDecision unmarked = fleet(RetryPolicy.ONE).tries(BOOK, false, 0);
        unmarked.begin(0, true);
        assertEquals(Reason.ERRORED, reason(unmarked.ended(LOST, 5, true)));
        RetryDecision late = fleet(RetryPolicy.ONE).tries(BOOK, true, 0);
        late.begin(0, true);
        assertEquals(Reason.ERRORED, reason(late.ended(LOST, 2001, true))); // 2.5 s less a fifth
    }

    @Test
    void aFingerprintedOneWhoseGroupHasNoOtherHostGoesNowhere() {
        Fixture f = new Fixture(2).whole(2, new ConfigurationUpdate.Level(1, RetryPolicy.TWO.ordinal()));
        RetryDecision t = f.tries(BOOK, true, 0);
        t.begin(0, true);
        assertEquals(Reason.ERRORED, reason(t.ended(LOST, 5, true)));
    }

    /** Refused at one zone, lost at another: the window and group are those of the host that may have run it. */
    @Test
    void theGroupIsThatOfTheFirstHostThatMayHaveRunIt() {
        for (int seed = 0; seed < 50; seed++) {
            Fixture f = fleet(RetryPolicy.TWO);
            f.chance.setSeed(seed);
            RetryDecision t = f.tries(BOOK, true, 0);
            t.begin(0, true);
            int second = sentTo(t.ended(REFUSED, 1, true));
            int third = sentTo(t.ended(LOST, 2, true));
            assertTrue(third == -1 || third % 2 == second % 2);
        }
    }

    @Test
    void withoutItsBodyItHasOneTry() {
        RetryDecision t = fleet(RetryPolicy.TWO).tries(QUOTE, false, 0);
        t.begin(0, true);
        assertEquals(Reason.ERRORED, reason(t.ended(REFUSED, 5, false)));
    }

    @Test
    void pastItsTimeoutNothingIsTried() {
        RetryDecision t = fleet(RetryPolicy.TWO).tries(QUOTE, false, 0);
        t.begin(0, true);
        assertEquals(Reason.TIMED_OUT, reason(t.ended(LATE, 2000, true)));
    }

    @Test
    void whoIsGoneOrAnsweredCausesNoFurtherTry() {
        RetryDecision gone = fleet(RetryPolicy.TWO).tries(QUOTE, false, 0);
        gone.begin(0, true);
        assertTrue(gone.abandoned());
        assertInstanceOf(Step.Nothing.class, gone.ended(REFUSED, 5, true));
        RetryDecision answered = fleet(RetryPolicy.TWO).tries(QUOTE, false, 0);
        answered.begin(0, true);
        assertInstanceOf(Step.PassOn.class, answered.answered(4));
        assertInstanceOf(Step.Nothing.class, answered.ended(LOST, 5, true));
        assertFalse(answered.abandoned());
    }

    @Test
    void anEmptyTableAndALevelAreAnsweredAtOnce() {
        RetryDecision none = new Fixture(2).tries(QUOTE, false, 0);
        assertEquals(Reason.NO_HOST, reason(none.begin(0, true)));
        RetryDecision limited = new Fixture(2, Measure.PER_SECOND)
                .whole(2, new ConfigurationUpdate.Level(0.5, 1))
                .tries(QUOTE, false, 0);
        limited.begin(0, true);
        Fixture f = new Fixture(2, Measure.PER_SECOND).whole(2, new ConfigurationUpdate.Level(0.5, 1));
        f.tries(QUOTE, false, 0).begin(0, true);
        Step.GiveUp turned = (Step.GiveUp) f.tries(QUOTE, false, 100).begin(100, true);
        assertEquals(Reason.RATE_LIMITED, turned.reason());
        assertEquals(1900, turned.backIn(), 1);
    }

    @Test
    void aStormOfErrorsStaysWithinTheBudget() {
        Fixture f = fleet(RetryPolicy.TWO);
        f.budget = new RetryBudget(0.2, 10, 10_000);
        int further = 0, total = 20_000;
        for (int i = 0; i < total; i++) {
            double now = i; // 1,000 a second, all error
            RetryDecision t = f.tries(QUOTE, false, now);
            t.begin(now, true);
            Step next = t.ended(LOST, now, true);
            while (next instanceof Step.Send) {
                further++;
                next = t.ended(LOST, now, true);
            }
        }
        assertTrue(further <= 0.2 * total + 10, "further tries " + further);
        assertTrue(further >= 0.15 * total, "further tries " + further);
    }

    @Test
    void aBudgetThatNobodyUsedIsNoCreditForLater() {
        RetryBudget b = new RetryBudget(0.1, 2, 10_000);
        for (int i = 0; i < 1000; i++) {
            b.first(0);
        }
        int late = 0;
        while (b.take(20_000)) {
            late++;
        }
        assertEquals(2, late);
        assertFalse(b.take(15_000)); // a clock that steps back gives none anew
    }

    /**
     * Whatever ends the attempts in whatever order: no side-effecting one is sent after it may have run, no
     * fingerprinted one outside its group and window, none to a host twice, none past its timeout.
     */
    @Property(tries = 2000, seed = "1")
    void noEffectTwice(@ForAll @IntRange(max = 1 << 24) int seed) {
        Fixture f = fleet(RetryPolicy.values()[seed % 4]);
        f.chance.setSeed(seed);
        Attempt[] ends = {REFUSED, LOST, LATE, UNREACHABLE, ERRORED};
        Limits terms = Fixture.ALL.get(f.chance.nextInt(3));
        boolean marked = f.chance.nextBoolean();
        RetryDecision t = f.tries(terms, marked, 0);
        double now = 0, ranAt = -1, sentAt = 0;
        int ran = -1;
        BitSet seen = new BitSet();
        Step step = t.begin(now, true);
        while (step instanceof Step.Send s) {
            assertFalse(seen.get(s.host()));
            seen.set(s.host());
            assertTrue(now < 2000 || terms == BOOK && now < 4000);
            if (ran >= 0) {
                assertNotEquals(ASSIGN, terms);
                assertTrue(terms == QUOTE || marked && now <= ranAt + 2500 && ran % 2 == s.host() % 2);
            }
            sentAt = now;
            now += f.chance.nextInt(1500);
            Attempt end = ends[f.chance.nextInt(ends.length)];
            if (ran < 0 && !end.neverRan()) {
                ran = s.host();
                ranAt = sentAt;
            }
            step = t.ended(end, now, true);
        }
        assertTrue(t.attempts() <= 3);
    }
}
