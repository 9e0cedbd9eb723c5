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
 * Starts a controller, and a gateway in the same process if one is configured. {@code linenring.Main} calls this class
 * directly, so that a start does not load the classes of the command line.
 */
public final class ControllerLauncher {
    private ControllerLauncher() {}

    /**
     * Serves until the process ends; returns the exit code if the process cannot start or take over.
     *
     * @param gatewayFile the file of the gateway's settings, or null to run without a gateway
     * @param logsJson whether the log is written as JSON lines rather than text
     */
    public static int run(Path gatewayFile, boolean logsJson) {
        ControllerProcess process;
        try {
            process = prepare(gatewayFile, logsJson, System.getenv());
        } catch (StartException failure) {
            return failure.report();
        }
        String oldProcessSocket = System.getenv(UpgradeCoordinator.SOCKET_ENVIRONMENT_VARIABLE);
        return process.isUpgradable() && oldProcessSocket != null
                ? process.takeOver(Path.of(oldProcessSocket))
                : process.serve();
    }

    /**
     * Reads the configuration and builds the process. A separate method, so that only the process keeps a reference to
     * the host list of the configuration, which is large.
     */
    private static ControllerProcess prepare(Path gatewayFile, boolean logsJson, Map<String, String> environment)
            throws StartException {
        AtomicBoolean ignoresHangUps = new AtomicBoolean();
        // the SIGHUP handler is installed first: without it the signal ends the process
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
            log.warn(
                    "reload",
                    "SIGHUP will not reload the configuration because the parent process set it to be ignored,"
                            + " as nohup does; restart the process to apply changes");
        }
        return new ControllerProcess(configuration, gateway, reloadSignals, log);
    }

    private static GatewaySettings readGatewaySettings(Path file, Names names) throws StartException {
        GatewaySettingsReader.Outcome outcome = GatewaySettingsReader.read(file, names);
        if (outcome.settings() == null) {
            throw new StartException(ExitCode.INVALID_CONFIGURATION, outcome.faults(), null);
        }
        return outcome.settings();
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

    /** The source from which a reload reads the configuration. */
    interface ConfigurationSource {
        ControllerConfiguration read() throws ConfigurationException;
    }

    /**
     * Applies the discovery address and scope of the configuration, or keeps the current ones if the new configuration
     * is invalid.
     */
    static void reload(ControllerConfiguration current, ConfigurationSource source, HostWatch watch, Log log) {
        ControllerConfiguration updated;
        try {
            updated = source.read();
        } catch (ConfigurationException failure) {
            log.warn(
                    "reload",
                    "keeping the current configuration because the new one cannot be used: " + failure.getMessage());
            return;
        }
        List<String> changedFixedKeys = current.changedFixedKeys(updated);
        String restartNote = changedFixedKeys.isEmpty()
                ? ""
                : "; changes to these keys take effect only after a restart: " + String.join(", ", changedFixedKeys);
        log.info("reload", "configuration reloaded" + restartNote);
        watch.moveTo(updated.discovery(), updated.scope());
    }
}
