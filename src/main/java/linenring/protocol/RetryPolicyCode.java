package linenring.protocol;

/** The codes of retry policies in the field {@code policy} of a configuration message. */
public final class RetryPolicyCode {
    /** Policy without retries. */
    public static final int NONE = 0;

    /** Policy of one retry, only if it is certain that the first attempt was not executed. */
    public static final int ONE_IF_NOT_EXECUTED = 1;

    /** Policy of one retry. */
    public static final int ONE = 2;

    /** Policy of two retries. */
    public static final int TWO = 3;

    private RetryPolicyCode() {}
}
