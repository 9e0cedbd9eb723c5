package linenring.protocol;

import linenring.protocol.DecodeError.Stage;

/** The result of decoding one message: the decoded value, or the error. */
public sealed interface DecodeResult<T> {
    /** The result of a valid message. */
    record Decoded<T>(T value) implements DecodeResult<T> {}

    /** The result of a message that could not be decoded. */
    record Failed<T>(DecodeError error) implements DecodeResult<T> {}

    /** Returns the decoded value; throws {@link IllegalStateException} if decoding failed. */
    default T orElseThrow() {
        if (this instanceof Decoded<T> decoded) {
            return decoded.value();
        }
        throw new IllegalStateException("message was not decoded: " + this);
    }

    /** Returns a failed result with this stage and reason. */
    static <T> DecodeResult<T> failed(Stage stage, String reason) {
        return new Failed<>(new DecodeError(stage, reason));
    }
}
