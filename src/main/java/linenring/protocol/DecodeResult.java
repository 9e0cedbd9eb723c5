package linenring.protocol;

import linenring.protocol.DecodeError.Stage;

/** The outcome of decoding one message: its value, or the error that kept it from being read. */
public sealed interface DecodeResult<T> {
    /** The message was valid. */
    record Decoded<T>(T value) implements DecodeResult<T> {}

    /** The message could not be read. */
    record Failed<T>(DecodeError error) implements DecodeResult<T> {}

    /** The value of a message that is known to be valid. */
    default T orElseThrow() {
        if (this instanceof Decoded<T> decoded) {
            return decoded.value();
        }
        throw new IllegalStateException("no value was decoded: " + this);
    }

    /** The failure of a message at this stage. */
    static <T> DecodeResult<T> failed(Stage stage, String reason) {
        return new Failed<>(new DecodeError(stage, reason));
    }
}
