package linenring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The {@code serve} subcommand: runs a controller that serves proxies, and a gateway if its settings file is given. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Run a controller that serves proxies over sockets, as configured by GW_CONFIG and the environment.")
final class ServeCommand implements Callable<Integer> {
    /** Format of the log lines. */
    enum LogFormat {
        TEXT,
        JSON
    }

    @Option(
            names = "--front",
            paramLabel = "FILE",
            description = "also run an HTTP/2 gateway with the settings in this file (docs/front.md)")
    private Path gatewayFile;

    @Option(
            names = "--log",
            paramLabel = "FORM",
            defaultValue = "text",
            description = "format of the log on standard error: text or json (text)")
    private LogFormat logFormat;

    @Override
    public Integer call() {
        return ControllerLauncher.run(gatewayFile, logFormat == LogFormat.JSON);
    }
}
