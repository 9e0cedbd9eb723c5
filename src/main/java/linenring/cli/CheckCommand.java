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

/** {@code check}: reads settings and serves nothing. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = {"Read a gateway's settings, and the controller's where GW_CONFIG names them; say what is wrong."
        })
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the gateway's settings")
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
                ProgramOutput.error(failure.getMessage());
                return ControllerLauncher.exitCode(failure);
            }
        }
        GatewaySettingsReader.Outcome read = GatewaySettingsReader.read(file, names);
        read.faults().forEach(System.err::println);
        if (read.settings() == null) {
            return ExitCode.INVALID_CONFIGURATION;
        }
        String unchecked = names == null ? "; the controller's names were not checked, as GW_CONFIG is not set" : "";
        System.out.println(file + ": no fault found" + unchecked);
        return ExitCode.SUCCESS;
    }
}
