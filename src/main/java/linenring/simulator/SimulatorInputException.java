package linenring.simulator;

/** Input that is not the wire; the message names the line and the field. */
final class SimulatorInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorInputException(long line, String what) {
        super("line " + line + ": " + what, null, false, false);
    }
}
