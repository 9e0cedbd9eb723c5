package linenring.protocol;

/** What decoding came to: a value, or why there is none. One of the two is null. */
public record DecodeResult<T>(T value, DecodeError fault) {
    static <T> DecodeResult<T> of(T value) {
        return new DecodeResult<>(value, null);
    }

    static <T> DecodeResult<T> fault(DecodeError.Reached reached, String what) {
        return new DecodeResult<>(null, new DecodeError(reached, what));
    }
}
