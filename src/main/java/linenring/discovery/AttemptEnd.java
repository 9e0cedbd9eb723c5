package linenring.discovery;

import java.util.Locale;

/** How an attempt at discovery's address ended: how far it had come, and what ended it. */
record AttemptEnd(Stage stage, String reason) {
    /** The steps of an attempt, in their order. */
    enum Stage {
        DIALLED,
        CONNECTED,
        REQUESTED,
        ANSWERED,
        /** A list, changes, or word that nothing has changed. */
        DELIVERED
    }

    @Override
    public String toString() {
        return "had " + stage.name().toLowerCase(Locale.ROOT) + " and ended: " + reason;
    }
}
