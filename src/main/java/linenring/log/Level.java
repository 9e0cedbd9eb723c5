package linenring.log;

/** How much attention a line asks for. The names are those that appear in the log. */
public enum Level {
    /** For the record. */
    INFO,
    /** Something that may need an action, though service goes on. */
    WARN,
    /** A defect, or a loss of service. */
    ERROR
}
