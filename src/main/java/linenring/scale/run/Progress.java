package linenring.scale.run;

/** Where a long run tells how far it has come. */
public interface Progress {
    /** Tells nothing. */
    Progress NONE = words -> {};

    void say(String words);
}
