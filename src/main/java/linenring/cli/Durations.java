package linenring.cli;

import linenring.kdl.Units;
import picocli.CommandLine;

/** Parses durations of the command line, which are a number with a unit, such as 150ms. */
final class Durations {
    private Durations() {}

    /** Fails the subcommand with a usage error if the option's value is not a duration. */
    static void requireDuration(CommandLine.Model.CommandSpec spec, String option, String value, String example) {
        if (!isDuration(value)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), option + ": '" + value + "' is not a duration with a unit, such as " + example);
        }
    }

    static boolean isDuration(String value) {
        return value.matches(Units.DURATION_PATTERN);
    }

    static long milliseconds(String value) {
        return (long) Units.parseDurationMs(value);
    }
}
