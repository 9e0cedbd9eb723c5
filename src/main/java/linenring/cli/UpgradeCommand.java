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

/** The {@code upgrade} subcommand: requests a handover from the serving process to a new one and waits for the outcome. */
@Command(
        name = "upgrade",
        mixinStandardHelpOptions = true,
        description = {
            "Request a handover from the serving process to a new one; exits with 0 if the new process serves,"
                    + " with 5 if the old process keeps serving or the outcome is unknown."
        })
final class UpgradeCommand implements Callable<Integer> {
    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(
            paramLabel = "DIRECTORY",
            description = "directory that the gateway's settings give as the dir of handover")
    private Path directory;

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "2min",
            description = "maximum time to wait for the outcome (${DEFAULT-VALUE})")
    private String timeout;

    @Override
    public Integer call() throws InterruptedException {
        Durations.requireDuration(spec, "--wait", timeout, "2min");
        Optional<UpgradeOutcome> outcome;
        try {
            outcome = UpgradeClient.request(directory, Durations.milliseconds(timeout));
        } catch (IOException failure) {
            ProgramOutput.printError("cannot reach a process to upgrade at " + directory + ": " + failure.getMessage());
            return ExitCode.CANNOT_START;
        }
        if (outcome.isEmpty()) {
            System.out.println("the old process reported no outcome; see its log");
            return ExitCode.NOT_UPGRADED;
        }
        boolean succeeded = outcome.get().getSucceeded();
        System.out.println(
                (succeeded ? "upgraded: " : "not upgraded: ") + outcome.get().getMessage());
        return succeeded ? ExitCode.SUCCESS : ExitCode.NOT_UPGRADED;
    }
}
