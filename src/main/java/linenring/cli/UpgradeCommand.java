package linenring.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import linenring.handover.UpgradeClient;
import linenring.handover.wire.HandoverProtocol.UpgradeOutcome;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code upgrade}: requests that the process that serves hand over to a new one, and waits for the outcome. */
@Command(
        name = "upgrade",
        mixinStandardHelpOptions = true,
        description = {
            "Have the process that serves hand over to"
                    + " a new one; ends with 0 once that one serves, with 5 if the old one goes on."
        })
final class UpgradeCommand implements Callable<Integer> {
    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "DIRECTORY", description = "handover's dir in the gateway's settings")
    private Path directory;

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "2min",
            description = "how long at most (${DEFAULT-VALUE})")
    private String timeout;

    @Override
    public Integer call() throws InterruptedException {
        Durations.check(spec, "--wait", timeout, "2min");
        Optional<UpgradeOutcome> outcome;
        try {
            outcome = UpgradeClient.request(directory, Durations.milliseconds(timeout));
        } catch (IOException failure) {
            ProgramOutput.error("nobody can be upgraded at " + directory + ": " + failure.getMessage());
            return ExitCode.CANNOT_START;
        }
        if (outcome.isEmpty()) {
            System.out.println("no outcome was received; see the log of the old process");
            return ExitCode.NOT_UPGRADED;
        }
        boolean succeeded = outcome.get().getSucceeded();
        System.out.println(
                (succeeded ? "upgraded: " : "not upgraded: ") + outcome.get().getMessage());
        return succeeded ? ExitCode.SUCCESS : ExitCode.NOT_UPGRADED;
    }
}
