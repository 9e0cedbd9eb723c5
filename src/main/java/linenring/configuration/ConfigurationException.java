package linenring.configuration;

/** The configuration cannot be used. The message names the key at fault, and what is wrong with its value. */
public final class ConfigurationException extends Exception {
    /** Which kind of fault it is: the process's exit code says so. */
    public enum Kind {
        INVALID,
        /** Nothing is wrong but that the host list does not fit the heap. */
        EXCEEDS_MEMORY
    }

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    ConfigurationException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    ConfigurationException(String message, Throwable cause) {
        super(message, cause);
        kind = Kind.INVALID;
    }

    /** Which kind of fault it is. */
    public Kind kind() {
        return kind;
    }
}
