package linenring.protocol;

/** Why something could not be read, and how far reading had come. */
public record DecodeError(Reached reached, String what) {
    /**
     * How far: its text was no JSON; it was, but of no known kind; its kind was known, but a field is wrong;
     * all was well, but there is more of it than the memory takes.
     */
    public enum Reached {
        TEXT,
        KIND,
        FIELDS,
        SIZE
    }

    @Override
    public String toString() {
        return reached.name().toLowerCase(java.util.Locale.ROOT) + ": " + what;
    }
}
