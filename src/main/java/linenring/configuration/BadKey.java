package linenring.configuration;

/** A key of the configuration at fault, and what is wrong with it; stops at {@link AssignmentReader#read}. */
final class BadKey extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadKey(String key, String what) {
        super(key + (what.startsWith(":") ? what : " " + what), null, false, false);
    }
}
