package linenring.routing;

/** Why the gateway answers a request with a failure instead of a host's answer. */
public enum FailureReason {
    /** The admission control of the operation rejected the request. */
    RATE_LIMITED,
    /** No host is eligible: the endpoint table is empty or the controller has ejected all its hosts. */
    NO_HOST,
    /** All attempts of the request failed. */
    ERRORED,
    /** The last attempt of the request timed out. */
    TIMED_OUT
}
