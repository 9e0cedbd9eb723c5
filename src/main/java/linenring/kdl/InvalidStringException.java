package linenring.kdl;

/** Thrown when the content of a quoted KDL string is invalid; {@link KdlNodeBuilder} adds the line number. */
final class InvalidStringException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidStringException(String message) {
        super(message, null, false, false); // no stack trace, since the exception is always caught in this package
    }
}
