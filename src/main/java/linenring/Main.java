package linenring;

import java.io.IOException;
import linenring.cli.ControllerLauncher;
import linenring.cli.RootCommand;
import linenring.simulator.SimulatorAdapter;

/**
 * The program's entry point. {@code serve} and {@code wirehost} without further arguments bypass {@link RootCommand}, so that
 * they do not load the classes of the other subcommands.
 */
public final class Main {
    private Main() {}

    /** Runs one subcommand and exits with its code. */
    public static void main(String[] args) throws IOException {
        String onlyArgument = args.length == 1 ? args[0] : "";
        boolean hasGateway = String.join(" ", args).contains("--front");
        // Jetty's log is discarded without a gateway, since loading a logging library would delay the start
        System.setProperty(
                "slf4j.provider",
                hasGateway ? "ch.qos.logback.classic.spi.LogbackServiceProvider" : "org.slf4j.nop.NOPServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN"); // otherwise SLF4J reports which provider it uses
        switch (onlyArgument) {
            case "wirehost" -> System.exit(SimulatorAdapter.run(System.in, System.out, System.err));
            case "serve" -> System.exit(ControllerLauncher.run(null, false));
            default -> System.exit(RootCommand.run(args));
        }
    }
}
