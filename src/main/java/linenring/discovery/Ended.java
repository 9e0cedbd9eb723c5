package linenring.discovery;

/** An attempt's end: how far it had come, and what ended it. */
record Ended(Reached reached, String why) {
    /** The steps of an attempt. */
    enum Reached {
        DIALLED,
        CONNECTED,
        ASKED,
        ANSWERED,
        TOLD
    }
}
