package linenring.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import linenring.configuration.ConfigurationException;
import linenring.configuration.ControllerConfiguration;
import linenring.configuration.ControllerConfigurationReader;
import linenring.discovery.HostWatch;
import linenring.gateway.settings.GatewaySettings;
import linenring.gateway.settings.GatewaySettingsReader;
import linenring.log.JsonSink;
import linenring.log.Log;

/** Serves until it is told to end: a steward, and a front beside it where one is asked for. */
public final class ServeCommand {
    /** Exit codes, beside 0. */
    static final int CONFIGURATION = 3, CANNOT_START = 4, EXCEEDS_MEMORY = 6;

    private ServeCommand() {}

    /** With the front's settings or null; returns the exit code where it can't serve, or once it is told to end. */
    public static int run(Path frontFile, boolean json) {
        Prepared prepared = prepare(frontFile, json); // the list that was read is held by nobody but the instance
        if (prepared.instance == null) {
            return prepared.exitCode;
        }
        String old = System.getenv("LINENRING_HANDOVER");
        GatewaySettings plan = prepared.instance.plan;
        return plan != null && plan.handover() != null && old != null
                ? prepared.instance.takeOver(Path.of(old))
                : prepared.instance.serve();
    }

    /** What is to serve, or the exit code where the settings are at fault. */
    private record Prepared(Instance instance, int exitCode) {}

    private static Prepared prepare(Path frontFile, boolean json) {
        boolean[] ignored = {false};
        ReloadSignals hangUps =
                ReloadSignals.caught(() -> ignored[0] = true); // before all else: till then one ends the process
        ControllerConfiguration told;
        try {
            told = ControllerConfigurationReader.read(System.getenv());
        } catch (ConfigurationException failure) {
            return new Prepared(null, reportFault(failure));
        }
        GatewaySettings plan = null;
        if (frontFile != null) {
            GatewaySettingsReader.Outcome front = GatewaySettingsReader.read(frontFile, told.names());
            if (front.settings() == null) {
                front.faults().forEach(f -> System.err.println("linenring: " + f));
                return new Prepared(null, CONFIGURATION);
            }
            plan = front.settings();
        }
        PrintStream err = new PrintStream(new FileOutputStream(FileDescriptor.err), true);
        Log log = json ? new Log(new JsonSink(err)) : new Log(err);
        if (ignored[0]) {
            log.warn("reload", "SIGHUP does nothing: whoever started the process has it ignored, as nohup does");
        }
        return new Prepared(new Instance(told, plan, hangUps, log), 0);
    }

    /** Reports why the configuration cannot be used; returns the exit code. */
    static int reportFault(ConfigurationException failure) {
        System.err.println("linenring: " + failure.getMessage());
        return failure.kind() == ConfigurationException.Kind.EXCEEDS_MEMORY ? EXCEEDS_MEMORY : CONFIGURATION;
    }

    /** Reads the configuration again. */
    interface ConfigurationSource {
        ControllerConfiguration read() throws ConfigurationException;
    }

    /** Goes on with what is new in the configuration, or with the old one where it is at fault. */
    static void reload(ControllerConfiguration held, ConfigurationSource source, HostWatch watch, Log log) {
        ControllerConfiguration read;
        try {
            read = source.read();
        } catch (ConfigurationException failure) {
            log.warn("reload", "goes on as before: " + failure.getMessage());
            return;
        }
        List<String> fixed = held.fixedKeysThatDiffer(read);
        log.info(
                "reload",
                "the configuration is read again"
                        + (fixed.isEmpty()
                                ? ""
                                : "; what can't change while it runs stays: " + String.join(", ", fixed)));
        watch.moveTo(read.discovery(), read.scope());
    }
}
