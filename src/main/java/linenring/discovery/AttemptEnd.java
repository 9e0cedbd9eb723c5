package linenring.discovery;

import java.util.Locale;

/** How an attempt at discovery's address ended: how far it had come, and what ended it. */
record AttemptEnd(Stage stage, String reason) {
    /** The steps of an attempt, in their order. */
    enum Stage {
        /** No connection was made. */
        CONNECTING,
        CONNECTED,
        REQUEST_SENT,
        RESPONSE_STARTED,
        /** The agent has sent a list, changes, or word that nothing has changed. */
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
