package linenring;

import java.io.IOException;
import linenring.command.Serve;
import linenring.command.Subcommands;
import linenring.simulation.WireHost;

/** Where the program begins. The two that the platform runs are called straight: they load nothing that they don't need. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        String alone = args.length == 1 ? args[0] : "";
        boolean front = String.join(" ", args).contains("--front");
        // Jetty's words go nowhere in a steward alone, whose start would otherwise wait for a logging library's
        System.setProperty(
                "slf4j.provider",
                front ? "ch.qos.logback.classic.spi.LogbackServiceProvider" : "org.slf4j.nop.NOPServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN"); // it would say which one it took
        switch (alone) {
            case "wirehost" -> System.exit(WireHost.run(System.in, System.out, System.err));
            case "serve" -> System.exit(Serve.run(null, false));
            default -> System.exit(Subcommands.run(args));
        }
    }
}
