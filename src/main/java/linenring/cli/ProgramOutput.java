package linenring.cli;

/** Output of the subcommands for the user of the command line. */
final class ProgramOutput {
    private ProgramOutput() {}

    /** Prints the message as one line on standard error, after the program's name. */
    static void printError(String message) {
        System.err.println("linenring: " + message);
    }
}
