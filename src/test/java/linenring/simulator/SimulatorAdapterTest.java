package linenring.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the exact bytes of the simulator's protocol. */
class SimulatorAdapterTest {
    private static final String START = "provision StewardId=1 Azs=a Kinds=k Classes.count=1\n";

    private static final String BATCHES = """
            batch Now=100000000
            provision StewardId=1 Azs=a,b Kinds=k Classes.count=2 Classes.0.Aim=1000000 Classes.1.Aim=500000 \
            Specifics.PushRate=1000 Specifics.DefaultSize=6 Specifics.PerMessage=4 Specifics.MostWaiting=1500 \
            Discovery=on_request Contract.MustAskIn=9000000 Contract.ColdFrom=0.2 Contract.Cold=10000000
            catalog Bank=3 Items=2
            entry Host=h-1 Mode=Running
            entry Host=h-2 Mode=Running Heft=2.5 StartTime=99000000 Dc=1

            registry StewardId=1 Bank=3 Scope=whole
            joined StewardId=1 Sidecar=0 Dc=0 Heft=2
            eob
            batch Now=100400000
            in_force StewardId=1 Sidecar=0 Rev=1 Rtt=200000
            traffic StewardId=1 Sidecar=0 Qos=0 Elapsed=1000000 Total=20
            tally StewardId=1 Host=h-1 Dc=0 Total=10 Bad=0 Rtt=150000 Elapsed=1000000
            catalog Bank=4 Items=1
            entry Host=h-2 Mode=Stopping Dc=1
            registry StewardId=1 Bank=4 Scope=patch
            eob
            batch Now=100500000
            elapsed StewardId=1
            registry StewardId=1 Scope=broken
            heard StewardId=1
            eob
            """;

    private record Outcome(int exitCode, String output, String errors) {}

    private static Outcome run(String input) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int exitCode = SimulatorAdapter.run(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        return new Outcome(exitCode, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
    }

    @Test
    void repliesToEachBatchWithCommandLines() throws IOException {
        Outcome outcome = run(BATCHES);
        assertEquals(0, outcome.exitCode(), outcome.errors());
        assertEquals("""
                set_line StewardId=1 Sheet=1 Host=h-1 Heft=1
                level StewardId=1 Sheet=1 Mask=1 Level=1 OnFailure=1
                level StewardId=1 Sheet=1 Mask=2 Level=1 OnFailure=1
                subscribe_to StewardId=1 Sheet=1 Mask=0 Sidecar=0
                stamp StewardId=1 Rev=1 Flag=0
                keep_informed StewardId=1 Flag=1
                set_alarm StewardId=1 Time=100100000 Handle=1
                next
                cordon StewardId=1 Host=h-2 Flag=1
                set_alarm StewardId=1 Time=100500000 Handle=1
                next
                set_alarm StewardId=1 Time=100600000 Handle=1
                next
                """, outcome.output());
    }

    @Test
    void sendsNoCommandsOfCrashedController() throws IOException {
        Outcome outcome = run("batch Now=1\n" + START + "joined StewardId=1 Sidecar=0\ncrash_now StewardId=1\neob\n"
                + "batch Now=2\nelapsed StewardId=1\neob\n");
        assertEquals("next\nnext\n", outcome.output());
    }

    /**
     * A message with an index out of range makes the planner fail. The reply must contain the cause, and the adapter
     * must continue.
     */
    @Test
    void reportsPlannerFailureInsteadOfItsCommands() throws IOException {
        Outcome outcome = run("batch Now=1\n" + START
                + "traffic StewardId=1 Sidecar=0 Qos=99 Total=1 Elapsed=1\nelapsed StewardId=1\neob\n");
        assertEquals(0, outcome.exitCode(), outcome.errors());
        assertTrue(
                outcome.output()
                        .startsWith("broken StewardId=1 Words=java.lang.ArrayIndexOutOfBoundsException: Index 99"),
                outcome.output());
        assertTrue(outcome.output().endsWith("\nnext\n"), outcome.output());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hello                                                   | line 1: hello: expected a batch",
                "batch Now=1;elapsed StewardId=7;eob                     | line 2: elapsed: field StewardId: controller 7 was never started",
                "batch Now=1;elapsed StewardId;eob                       | line 2: elapsed: 'StewardId' is not a field of the form name=value",
                "batch Now=1;catalog Bank=1 Items=1;entry Host=a Mode=Odd;eob | line 3: entry: field Mode: unknown value 'Odd'",
                "batch Now=1;catalog Bank=1 Items=1                      | line 3: the input ends inside a list",
                "batch Now=1                                             | line 2: the input ends inside a batch",
                "batch Now=1;START;odd StewardId=1;eob                   | line 3: odd: unknown message",
                "batch Now=1;START;registry StewardId=1 Scope=whole Bank=9;eob | line 3: registry: field Bank: list 9 was never received"
            },
            quoteCharacter = '"')
    void rejectsInvalidInputWithLineAndField(String input, String expected) throws IOException {
        String lines = input.replace("START", START.strip()).replace(';', '\n') + "\n";
        Outcome outcome = run(lines);
        assertEquals(1, outcome.exitCode());
        assertEquals("linenring: " + expected + "\n", outcome.errors());
    }
}
