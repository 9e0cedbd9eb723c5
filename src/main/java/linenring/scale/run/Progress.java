package linenring.scale.run;

/** Receives messages on how far a long run has come. */
public interface Progress {
    /** Ignores them. */
    Progress NONE = message -> {};

    /** Receives one message. */
    void report(String message);
}
