package linenring.simulator;

/** Input that is not the simulator's wire; the message names the line and what was expected there. */
final class SimulatorInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final long lineNumber;

    SimulatorInputException(long lineNumber, String detail) {
        super("line " + lineNumber + ": " + detail, null, false, false);
        this.lineNumber = lineNumber;
    }

    /** Counted from 1. */
    long lineNumber() {
        return lineNumber;
    }
}
