package linenring.cli;

/** Exit codes of the subcommands. */
final class ExitCode {
    static final int SUCCESS = 0;
    static final int USAGE = 2;
    static final int INVALID_CONFIGURATION = 3;
    static final int CANNOT_START = 4;
    static final int NOT_UPGRADED = 5;
    static final int EXCEEDS_MEMORY = 6;

    private ExitCode() {}
}
