package linenring.message;

/** What decoding came to: a value, or why there is none. One of the two is null. */
public record Decoded<T>(T value, Unreadable fault) {
    static <T> Decoded<T> of(T value) {
        return new Decoded<>(value, null);
    }

    static <T> Decoded<T> fault(Unreadable.Reached reached, String what) {
        return new Decoded<>(null, new Unreadable(reached, what));
    }
}
