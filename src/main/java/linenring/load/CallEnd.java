package linenring.load;

/**
 * How a call ended.
 *
 * @param label      for tables
 * @param isAnswered whether an answer came, with any status
 */
record CallEnd(String label, boolean isAnswered) {
    /** It was sent, and nothing is known of it. */
    static final CallEnd LOST = new CallEnd("lost", false);

    /** It is proven that it was not processed (RFC 9113, 8.7 and 6.8). */
    static final CallEnd REFUSED = new CallEnd("refused", false);

    /** No connection took it. */
    static final CallEnd UNSENT = new CallEnd("unsent", false);

    private static final int REFUSED_STREAM = 7;

    static CallEnd answered(int status) {
        return new CallEnd(Integer.toString(status), true);
    }

    static CallEnd reset(int errorCode) {
        return errorCode == REFUSED_STREAM ? REFUSED : new CallEnd("reset " + errorCode, false);
    }
}
