package linenring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code serve}: a controller on sockets, and a gateway beside it where its settings are named. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Run a controller on sockets, as GW_CONFIG and the environment say.")
final class ServeCommand implements Callable<Integer> {
    /** How the log is written. */
    enum LogFormat {
        TEXT,
        JSON
    }

    @Option(
            names = "--front",
            paramLabel = "FILE",
            description = "also run a gateway that takes requests over HTTP/2, as this file says (docs/front.md)")
    private Path gatewayFile;

    @Option(
            names = "--log",
            paramLabel = "FORM",
            defaultValue = "text",
            description = "text or json: how lines are written to standard error (text)")
    private LogFormat logFormat;

    @Override
    public Integer call() {
        return ControllerLauncher.run(gatewayFile, logFormat == LogFormat.JSON);
    }
}
