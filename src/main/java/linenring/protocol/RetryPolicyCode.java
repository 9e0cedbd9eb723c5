package linenring.protocol;

/** The numbers of retry policies in the field {@code policy} of a configuration message. */
public final class RetryPolicyCode {
    /** No retry. */
    public static final int NONE = 0;

    /** One retry, if it is proven that the first attempt was not executed. */
    public static final int ONE_IF_NOT_EXECUTED = 1;

    /** One retry. */
    public static final int ONE = 2;

    /** Two retries. */
    public static final int TWO = 3;

    private RetryPolicyCode() {}
}
