package linenring.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import linenring.simulator.SimulatorAdapter;
import picocli.CommandLine.Command;

/** {@code wirehost}: decides for the simulator. */
@Command(
        name = "wirehost",
        mixinStandardHelpOptions = true,
        description = "Decide over the simulator's wire on standard input and output.")
final class SimulatorCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        return SimulatorAdapter.run(System.in, System.out, System.err);
    }
}
