package linenring.kdl;

/** A quoted string whose content is not valid; the builder turns it into an error with its line. */
final class InvalidStringException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidStringException(String message) {
        super(message, null, false, false); // never leaves the package: no stack trace
    }
}
