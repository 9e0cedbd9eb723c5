package linenring.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import linenring.configuration.AssignmentReader;
import linenring.log.Log;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

class ServeTest {
    @Test
    void aFaultyConfigurationIsOneLineAndTheOldOneGoesOn() {
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        Serve.reload(null, AssignmentReader.read(Map.of("GW_CONFIG", "/nowhere/at/all")), null, // neither is touched
                new Log(new PrintStream(logged, true)));
        assertEquals(1, logged.toString().lines().count());
        assertTrue(logged.toString().endsWith(" WARN reload goes on as before: GW_CONFIG: cannot read /nowhere/at/all\n"));
    }

    /** Without the handler this ends the whole run of the tests, as it ended a steward in service. */
    @Test
    void aHangUpIsActedOnAndEndsNothing() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        Serve.onHangUp(both::countDown);
        Signal.raise(new Signal("HUP"));
        for (int i = 0; i < 2000 && both.getCount() > 1; i++) {
            TimeUnit.MILLISECONDS.sleep(10); // signals of one kind that come at once are one
        }
        assertEquals(1, both.getCount());
        Signal.raise(new Signal("HUP"));
        assertTrue(both.await(20, TimeUnit.SECONDS));
    }
}
