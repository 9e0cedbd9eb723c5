package linenring.routing;

/** Why a request gets no answer of a host. */
public enum FailureReason {
    /** The operation's admission control rejected it. */
    RATE_LIMITED,
    /** No host may be picked: the table is empty or all its hosts are ejected. */
    NO_HOST,
    /** Its attempts failed. */
    ERRORED,
    /** Its last attempt took too long. */
    TIMED_OUT
}
