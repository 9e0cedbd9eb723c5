package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import linenring.scale.measurement.Scenario;
import linenring.scale.measurement.ScenarioOutcome;
import linenring.scale.measurement.Workload;
import org.junit.jupiter.api.Test;

/** Scenarios end with tables that agree with the catalogue; not how long that takes. */
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
    void servesProxiesThatJoinAgain() throws Exception {
        ScenarioOutcome outcome = play(Scenario.PROXIES_RESTARTED);
        assertEquals(0, outcome.hostsConcerned());
    }

    @Test
    void servesAfterARestartWithACutList() throws Exception {
        ScenarioOutcome outcome = play(Scenario.PARTIAL_LIST);
        assertTrue(outcome.convergenceSeconds() > 0); // its proxies were without it for a while
    }

    @Test
    void appliesTheChangesOfASilenceAfterIt() throws Exception {
        assertEquals(2, play(Scenario.SILENCE_CAUGHT_UP).hostsConcerned()); // one host is gone, another in its place
    }
}
