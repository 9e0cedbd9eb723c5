package linenring.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import linenring.configuration.ConfigurationException;
import linenring.configuration.ControllerConfigurationReader;
import linenring.gateway.settings.GatewaySettingsReader;
import linenring.settings.Names;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The {@code check} subcommand: validates settings without starting a process that serves. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = {
            "Validate a gateway's settings, and the controller's configuration if GW_CONFIG is set; print each fault."
        })
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the gateway's settings file")
    private Path file;

    @Override
    public Integer call() {
        return check(file, System.getenv());
    }

    static int check(Path file, Map<String, String> environment) {
        Names names = null;
        if (environment.containsKey("GW_CONFIG")) {
            try {
                names = ControllerConfigurationReader.read(environment).names();
            } catch (ConfigurationException failure) {
                ProgramOutput.printError(failure.getMessage());
                return ControllerLauncher.exitCode(failure);
            }
        }
        GatewaySettingsReader.Outcome outcome = GatewaySettingsReader.read(file, names);
        outcome.faults().forEach(System.err::println);
        if (outcome.settings() == null) {
            return ExitCode.INVALID_CONFIGURATION;
        }
        String uncheckedNote = names == null
                ? "; names from the controller's configuration were not checked because GW_CONFIG is not set"
                : "";
        System.out.println(file + ": no fault found" + uncheckedNote);
        return ExitCode.SUCCESS;
    }
}
