package linenring.planner;

import static linenring.planner.FakeProxies.ALL;
import static linenring.planner.FakeProxies.operation;
import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import linenring.planner.Commands.RetryPolicy;
import org.junit.jupiter.api.Test;

/** What is admitted follows what ends well, and retries stop in a storm. */
class AdmissionControllerTest {
    private static final Set<Integer> NONE = Set.of();

    @Test
    void retriesOnlyWhatWasNotExecuted() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(1, ALL), operation(1, ALL)));
        fleet.start(4, 1);
        assertEquals(Set.of(1, 2, 4), fleet.retryPolicyByMask().keySet());
        assertEquals(
                Set.of(RetryPolicy.ONE_IF_NOT_EXECUTED),
                Set.copyOf(fleet.retryPolicyByMask().values()));
    }

    /** More is asked than the fleet can do. Without a cut all answers come too late, those that earn most too. */
    @Test
    void shedsWhatEarnsLeastInOverloadAndAdmitsItAgain() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(3, ALL))).start(4, 1);
        for (int second = 0; second < 4; second++) {
            fleet.planner().requestRate(0, 0, 1000, 50);
            fleet.planner().requestRate(0, 1, 1000, 20);
            fleet.passSecond(4, 0, 20, 900, 0, NONE);
        }
        assertTrue(fleet.admissionByMask().get(1) < 0.9);
        assertEquals(1, fleet.admissionByMask().get(2));
        for (int second = 0; second < 30; second++) {
            fleet.passSecond(4, 0, 20, 100, 0, NONE);
        }
        assertEquals(1, fleet.admissionByMask().get(1));
    }

    /**
     * The intake of reports is narrow, and each covers five seconds. After a cut they still tell of what was admitted
     * before; judged by them, admission would be cut again and again.
     */
    @Test
    void doesNotCutAgainForReportsFromBeforeTheCut() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        fleet.setReportSpanMs(5000); // the intake is narrow: each report has waited while it grew
        for (int second = 0; second < 20; second++) {
            fleet.planner().requestRate(0, 0, 1000, 100);
            fleet.passSecond(6, 0, 20, 200, 0, NONE);
        }
        double once = 1;
        for (int second = 0; second < 12 && once == 1; second++) {
            fleet.passSecond(6, 0, 20, 900, 0, NONE);
            once = fleet.admissionByMask().getOrDefault(1, 1.0);
        }
        assertTrue(once < 1);
        for (int second = 0; second < 6; second++) {
            fleet.passSecond(6, 0, 20, 900, 0, NONE); // they still show what was admitted before
            assertEquals(once, fleet.admissionByMask().get(1));
        }
    }

    /** Every host is full and rejects. A retry goes to the next full host: each request becomes two, and nothing ends. */
    @Test
    void stopsRetriesInStormUnderLoweredAdmission() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        for (int second = 0; second < 5; second++) {
            fleet.planner().requestRate(0, 0, 1000, 100);
            fleet.passSecond(6, 0, 30, 800, 20, Set.of(0, 1, 2, 3, 4, 5));
        }
        assertEquals(RetryPolicy.NONE, fleet.retryPolicyByMask().get(1));
        assertEquals(NONE, fleet.ejected()); // all are as bad: none is ejected
        for (int second = 0; second < 30; second++) {
            fleet.passSecond(6, 0, 20, 100, 0, NONE);
        }
        assertEquals(RetryPolicy.ONE_IF_NOT_EXECUTED, fleet.retryPolicyByMask().get(1));
    }
}
