package linenring.discovery;

import java.util.Locale;

/** The stage that a connection attempt to a discovery agent had reached, and the reason why the attempt ended. */
record AttemptEnd(Stage stage, String reason) {
    /** The stages of a connection attempt, in order. */
    enum Stage {
        /** No connection has been established. */
        CONNECTING,
        CONNECTED,
        REQUEST_SENT,
        RESPONSE_STARTED,
        /** The agent has sent a complete list, a delta, or a blank line. */
        DATA_RECEIVED;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    @Override
    public String toString() {
        return "failed (" + stage + "): " + reason;
    }
}
