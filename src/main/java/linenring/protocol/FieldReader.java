package linenring.protocol;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/** Reads the value that the parser is at into one field of a message in progress. */
@FunctionalInterface
interface FieldReader<T> {
    void read(T message, String field, JsonParser parser) throws IOException, InvalidFieldException;
}
