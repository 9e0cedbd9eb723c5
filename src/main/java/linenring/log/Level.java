package linenring.log;

/** Severity of a log line. The names of the constants appear in the log. */
public enum Level {
    /** An event that needs no action. */
    INFO,
    /** An event that may need an action, although the service continues. */
    WARN,
    /** A defect of the program or a loss of service. */
    ERROR
}
