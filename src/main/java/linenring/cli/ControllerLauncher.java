package linenring.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.Charset;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import linenring.configuration.ConfigurationException;
import linenring.configuration.ControllerConfiguration;
import linenring.configuration.ControllerConfigurationReader;
import linenring.discovery.HostWatch;
import linenring.gateway.settings.GatewaySettings;
import linenring.gateway.settings.GatewaySettingsReader;
import linenring.handover.UpgradeCoordinator;
import linenring.log.JsonSink;
import linenring.log.Log;
import linenring.settings.Names;

/**
 * Starts a controller, and a gateway beside it where one is configured. {@code linenring.Main} calls it directly, so that a
 * start need not load the command line's classes.
 */
public final class ControllerLauncher {
    private ControllerLauncher() {}

    /**
     * Serves until the process ends; returns the exit code where it cannot.
     *
     * @param gatewayFile the gateway's settings, or null for none
     * @param logsJson whether the log is written as JSON lines
     */
    public static int run(Path gatewayFile, boolean logsJson) {
        ControllerProcess process;
        try {
            process = prepare(gatewayFile, logsJson, System.getenv());
        } catch (StartException failure) {
            return failure.report();
        }
        String oldProcess = System.getenv(UpgradeCoordinator.SOCKET_VARIABLE);
        return process.isUpgradable() && oldProcess != null ? process.takeOver(Path.of(oldProcess)) : process.serve();
    }

    /** A method of its own, as nobody but the process may hold the host list that was read: it is large. */
    private static ControllerProcess prepare(Path gatewayFile, boolean logsJson, Map<String, String> environment)
            throws StartException {
        AtomicBoolean ignoresHangUps = new AtomicBoolean();
        // before all else: until then a SIGHUP ends the process
        ReloadSignals reloadSignals = ReloadSignals.install(() -> ignoresHangUps.set(true));
        ControllerConfiguration configuration;
        try {
            configuration = ControllerConfigurationReader.read(environment);
        } catch (ConfigurationException failure) {
            throw new StartException(exitCode(failure), failure.getMessage(), failure);
        }
        Optional<GatewaySettings> gateway = gatewayFile == null
                ? Optional.empty()
                : Optional.of(readGatewaySettings(gatewayFile, configuration.names()));
        Log log = openLog(logsJson);
        if (ignoresHangUps.get()) {
            log.warn("reload", "SIGHUP does nothing: whoever started the process has it ignored, as nohup does");
        }
        return new ControllerProcess(configuration, gateway, reloadSignals, log);
    }

    private static GatewaySettings readGatewaySettings(Path file, Names names) throws StartException {
        GatewaySettingsReader.Outcome read = GatewaySettingsReader.read(file, names);
        if (read.settings() == null) {
            throw new StartException(ExitCode.INVALID_CONFIGURATION, read.faults(), null);
        }
        return read.settings();
    }

    private static Log openLog(boolean logsJson) {
        PrintStream standardError =
                new PrintStream(new FileOutputStream(FileDescriptor.err), true, Charset.defaultCharset());
        return logsJson ? new Log(new JsonSink(standardError)) : new Log(standardError);
    }

    static int exitCode(ConfigurationException failure) {
        return switch (failure.kind()) {
            case INVALID -> ExitCode.INVALID_CONFIGURATION;
            case EXCEEDS_MEMORY -> ExitCode.EXCEEDS_MEMORY;
        };
    }

    /** Reads the configuration. */
    interface ConfigurationSource {
        ControllerConfiguration read() throws ConfigurationException;
    }

    /** Goes on with what is new in the configuration, or with what is held where the new one is at fault. */
    static void reload(ControllerConfiguration held, ConfigurationSource source, HostWatch watch, Log log) {
        ControllerConfiguration read;
        try {
            read = source.read();
        } catch (ConfigurationException failure) {
            log.warn("reload", "goes on as before: " + failure.getMessage());
            return;
        }
        List<String> fixed = held.fixedKeysThatDiffer(read);
        String unchanged =
                fixed.isEmpty() ? "" : "; what cannot change while it runs stays: " + String.join(", ", fixed);
        log.info("reload", "the configuration is read again" + unchanged);
        watch.moveTo(read.discovery(), read.scope());
    }
}
