package linenring.cli;

import java.util.List;

/** The process cannot start. Holds the lines of the error message and the exit code. */
final class StartException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> lines;
    private final int exitCode;

    StartException(int exitCode, List<String> lines, Throwable cause) {
        super(String.join("; ", lines), cause);
        this.exitCode = exitCode;
        this.lines = List.copyOf(lines);
    }

    StartException(int exitCode, String line, Throwable cause) {
        this(exitCode, List.of(line), cause);
    }

    int exitCode() {
        return exitCode;
    }

    /** Prints the error message on standard error; returns the exit code. */
    int report() {
        lines.forEach(ProgramOutput::printError);
        return exitCode;
    }
}
