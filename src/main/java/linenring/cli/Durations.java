package linenring.cli;

import linenring.kdl.Units;
import picocli.CommandLine;

/** Durations on the command line: a number with its unit, such as 150ms. */
final class Durations {
    private Durations() {}

    /** Ends the subcommand with its usage where the option's value is not a duration. */
    static void check(CommandLine.Model.CommandSpec spec, String option, String value, String example) {
        if (!isDuration(value)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    option + ": '" + value + "' is not a duration with its unit, such as " + example);
        }
    }

    static boolean isDuration(String value) {
        return value.matches(Units.DURATION);
    }

    static long milliseconds(String value) {
        return (long) Units.millis(value);
    }
}
