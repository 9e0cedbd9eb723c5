package linenring.simulator;

/** Signals input that violates the simulator's protocol; the message contains the line number and the error. */
final class SimulatorInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final long lineNumber;

    SimulatorInputException(long lineNumber, String detail) {
        super("line " + lineNumber + ": " + detail, null, false, false);
        this.lineNumber = lineNumber;
    }

    /** Returns the number of the invalid line, counted from 1. */
    long lineNumber() {
        return lineNumber;
    }
}
