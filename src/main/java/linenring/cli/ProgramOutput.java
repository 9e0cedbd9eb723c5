package linenring.cli;

/** What subcommands print for whoever called them. */
final class ProgramOutput {
    private ProgramOutput() {}

    /** One line on standard error that begins with the program's name. */
    static void error(String message) {
        System.err.println("linenring: " + message);
    }
}
