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

/** {@code upgrade}: asks the process that serves to hand over to a new one, and waits for the outcome. */
@Command(
        name = "upgrade",
        mixinStandardHelpOptions = true,
        description = "Have the process that serves hand over to"
                + " a new one; ends with 0 once that one serves, with 5 if the old one goes on.")
final class UpgradeCommand implements Callable<Integer> {
    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "DIRECTORY", description = "handover's dir in the front's settings")
    private Path directory;

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "2min",
            description = "how long at most (${DEFAULT-VALUE})")
    private String wait;

    @Override
    public Integer call() throws InterruptedException {
        Durations.check(spec, "--wait", wait, "2min");
        Optional<UpgradeOutcome> outcome;
        try {
            outcome = UpgradeClient.request(directory, Durations.milliseconds(wait));
        } catch (IOException e) {
            System.err.println("linenring: nobody can be upgraded at " + directory + ": " + e.getMessage());
            return ServeCommand.CANNOT_START;
        }
        if (outcome.isEmpty()) {
            System.out.println("nothing was heard of it; the log of the old process tells");
            return Subcommands.NOT_UPGRADED;
        }
        boolean succeeded = outcome.get().getSucceeded();
        System.out.println(
                (succeeded ? "upgraded: " : "not upgraded: ") + outcome.get().getMessage());
        return succeeded ? 0 : Subcommands.NOT_UPGRADED;
    }
}
