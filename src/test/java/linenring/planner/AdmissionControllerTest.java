package linenring.planner;

import static linenring.planner.FakeProxies.ALL;
import static linenring.planner.FakeProxies.operation;
import static linenring.planner.FakeProxies.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import linenring.planner.Commands.RetryPolicy;
import org.junit.jupiter.api.Test;

/**
 * Checks that the admission ratio follows the ratio of successful attempts, and that retries stop in a retry storm.
 */
class AdmissionControllerTest {
    private static final Set<Integer> NONE = Set.of();

    @Test
    void retriesOnlyAttemptsThatWereNotExecuted() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(1, ALL), operation(1, ALL)));
        fleet.start(4, 1);
        assertEquals(Set.of(1, 2, 4), fleet.retryPolicyByMask().keySet());
        assertEquals(
                Set.of(RetryPolicy.ONE_IF_NOT_EXECUTED),
                Set.copyOf(fleet.retryPolicyByMask().values()));
    }

    /**
     * Guards against overload, in which the demand exceeds the fleet's capacity. Without load shedding all answers
     * come too late, including those of the operation with the highest priority weight.
     */
    @Test
    void shedsLowestPriorityOperationInOverloadAndAdmitsItAgain() {
        FakeProxies fleet = new FakeProxies(settings(0, operation(1, ALL), operation(3, ALL))).start(4, 1);
        for (int second = 0; second < 4; second++) {
            fleet.planner().requestRate(0, 0, 1000, 50);
            fleet.planner().requestRate(0, 1, 1000, 20);
            fleet.reportAndAdvanceOneSecond(4, 0, 20, 900, 0, NONE);
        }
        assertTrue(fleet.admissionByMask().get(1) < 0.9);
        assertEquals(1, fleet.admissionByMask().get(2));
        for (int second = 0; second < 30; second++) {
            fleet.reportAndAdvanceOneSecond(4, 0, 20, 100, 0, NONE);
        }
        assertEquals(1, fleet.admissionByMask().get(1));
    }

    /**
     * Guards against repeated cuts by outdated reports. Load reports that each cover five seconds still show
     * traffic admitted before a cut for some time; if they were evaluated, admission would be cut again and again.
     */
    @Test
    void doesNotCutAgainForReportsFromBeforeTheCut() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        // each load report covers the time that it waited for the controller's limited intake
        fleet.setReportSpanMs(5000);
        for (int second = 0; second < 20; second++) {
            fleet.planner().requestRate(0, 0, 1000, 100);
            fleet.reportAndAdvanceOneSecond(6, 0, 20, 200, 0, NONE);
        }
        double ratioAfterCut = 1;
        for (int second = 0; second < 12 && ratioAfterCut == 1; second++) {
            fleet.reportAndAdvanceOneSecond(6, 0, 20, 900, 0, NONE);
            ratioAfterCut = fleet.admissionByMask().getOrDefault(1, 1.0);
        }
        assertTrue(ratioAfterCut < 1);
        for (int second = 0; second < 6; second++) {
            fleet.reportAndAdvanceOneSecond(
                    6, 0, 20, 900, 0, NONE); // these reports still show traffic from before the cut
            assertEquals(ratioAfterCut, fleet.admissionByMask().get(1));
        }
    }

    /**
     * Guards against retries while every host is full and rejects requests. Each retry goes to the next full host,
     * so that the number of attempts doubles and no request succeeds.
     */
    @Test
    void stopsRetriesInRetryStormUnderReducedAdmission() {
        FakeProxies fleet = new FakeProxies(settings(0)).start(6, 2);
        for (int second = 0; second < 5; second++) {
            fleet.planner().requestRate(0, 0, 1000, 100);
            fleet.reportAndAdvanceOneSecond(6, 0, 30, 800, 20, Set.of(0, 1, 2, 3, 4, 5));
        }
        assertEquals(RetryPolicy.NONE, fleet.retryPolicyByMask().get(1));
        assertEquals(NONE, fleet.ejected()); // no host is ejected, since all hosts fail alike
        for (int second = 0; second < 30; second++) {
            fleet.reportAndAdvanceOneSecond(6, 0, 20, 100, 0, NONE);
        }
        assertEquals(RetryPolicy.ONE_IF_NOT_EXECUTED, fleet.retryPolicyByMask().get(1));
    }
}
