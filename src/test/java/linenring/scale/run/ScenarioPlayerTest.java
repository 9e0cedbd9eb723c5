package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.ScenarioOutcome;
import linenring.scale.measurement.Workload;
import org.junit.jupiter.api.Test;

/** Tests that the tables match the catalogue after a scenario; the convergence time is not checked. */
class ScenarioPlayerTest {
    private static final Workload SMALL = new Workload(24, 24, 4, 4, 2, 2, 0, 20, 0);

    private static ScenarioOutcome play(Scenario scenario) throws Exception {
        ScenarioOutcome outcome = new ScenarioPlayer(1, Progress.NONE, 500, 2000).play(scenario, SMALL);
        assertNull(outcome.failure());
        assertFalse(Double.isNaN(outcome.convergenceSeconds()));
        assertTrue(outcome.bytesIn() > 0 && outcome.bytesOut() > 0);
        return outcome;
    }

    @Test
    void updatesProxiesThatRejoin() throws Exception {
        ScenarioOutcome outcome = play(Scenario.PROXIES_RESTARTED);
        assertEquals(0, outcome.hostsConcerned());
    }

    @Test
    void convergesAfterARestartWithATruncatedList() throws Exception {
        ScenarioOutcome outcome = play(Scenario.PARTIAL_LIST);
        assertTrue(outcome.convergenceSeconds() > 0); // the proxies were disconnected while the controller restarted
    }

    @Test
    void appliesChangesMadeDuringASilence() throws Exception {
        assertEquals(
                2,
                play(Scenario.SILENCE_CAUGHT_UP).hostsConcerned()); // one host is removed, and a new host replaces it
    }
}
