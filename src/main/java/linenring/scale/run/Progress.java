package linenring.scale.run;

/** Receives progress messages of a scale run. */
public interface Progress {
    /** Discards all progress messages. */
    Progress NONE = message -> {};

    /** Receives one progress message. */
    void report(String message);
}
