package linenring.routing;

/** Why a request gets no answer of a host. */
public enum FailureReason {
    /** The operation's admission control rejected it. */
    RATE_LIMITED,
    /** Its table has no host. */
    NO_HOST,
    /** Its attempts failed. */
    ERRORED,
    /** Its last attempt took too long. */
    TIMED_OUT
}
