package linenring.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import linenring.simulator.SimulatorAdapter;
import picocli.CommandLine.Command;

/** The {@code wirehost} subcommand: runs a controller that makes the decisions for the simulator. */
@Command(
        name = "wirehost",
        mixinStandardHelpOptions = true,
        description =
                "Run a controller for the simulator, which sends inputs on standard input and reads decisions from standard output.")
final class SimulatorCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        return SimulatorAdapter.run(System.in, System.out, System.err);
    }
}
