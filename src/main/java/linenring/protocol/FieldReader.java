package linenring.protocol;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/** Reads the parser's current value into one field of a partly decoded message. */
@FunctionalInterface
interface FieldReader<T> {
    void read(T message, String field, JsonParser parser) throws IOException, InvalidFieldException;
}
