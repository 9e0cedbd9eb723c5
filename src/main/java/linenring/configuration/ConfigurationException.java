package linenring.configuration;

/** The configuration cannot be used. The message gives the key and the fault of its value. */
public final class ConfigurationException extends Exception {
    /** The kind of fault, which determines the exit code of the process. */
    public enum Kind {
        INVALID,
        /** The configuration is valid, but its host list does not fit the heap. */
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

    /** Returns the kind of fault. */
    public Kind kind() {
        return kind;
    }
}
