package linenring.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import linenring.settings.Names;

/** Validates field values: each method returns the typed value, or throws an exception that names the field. */
final class FieldValues {
    /** Maximum length of a peer's text in a log line. */
    private static final int MAX_LOGGED_CHARACTERS = 40;

    private FieldValues() {}

    static String text(String field, JsonParser parser) throws IOException, InvalidFieldException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw InvalidFieldException.ofField(field, "is not text");
        }
        return parser.getText();
    }

    static double number(String field, JsonParser parser) throws IOException, InvalidFieldException {
        if (!parser.currentToken().isNumeric()) {
            throw InvalidFieldException.ofField(field, "is not a number");
        }
        return parser.getDoubleValue();
    }

    static boolean bool(String field, JsonParser parser) throws IOException, InvalidFieldException {
        if (!parser.currentToken().isBoolean()) {
            throw InvalidFieldException.ofField(field, "is not a boolean");
        }
        return parser.getBooleanValue();
    }

    static <T> T required(String field, T value) throws InvalidFieldException {
        if (value == null) {
            throw InvalidFieldException.ofField(field, "is missing");
        }
        return value;
    }

    /** Returns the value as an integer from 0 to the maximum. */
    static int integer(String field, Double value, int max) throws InvalidFieldException {
        double number = required(field, value);
        if (number != Math.rint(number) || number < 0 || number > max) {
            throw InvalidFieldException.ofValue(field, number + " is not a whole number from 0 to " + max);
        }
        return (int) number;
    }

    /** Returns the value if it is a number from 0 to the maximum; NaN is rejected. */
    static double nonNegative(String field, Double value, double max) throws InvalidFieldException {
        double number = required(field, value);
        if (!(number >= 0 && number <= max)) {
            throw InvalidFieldException.ofValue(field, number + " is out of range");
        }
        return number;
    }

    /** Returns the index of a name in the list; a name that is not in the list is rejected. */
    static int existingIndex(String field, List<String> names, String name) throws InvalidFieldException {
        int index = names.indexOf(required(field, name));
        if (index < 0) {
            throw InvalidFieldException.ofValue(field, "unknown '" + abbreviated(name) + "'");
        }
        return index;
    }

    /** Returns the index of a name in the list; a new name is appended to the list if it has room. */
    static int indexOrNext(String field, List<String> names, String name) throws InvalidFieldException {
        int index = Names.indexOrAdd(names, required(field, name));
        if (index < 0) {
            throw InvalidFieldException.ofValue(field, "too many distinct names to add '" + abbreviated(name) + "'");
        }
        return index;
    }

    /** Returns a peer's text, truncated to the length limit of log lines. */
    static String abbreviated(String text) {
        return text.length() <= MAX_LOGGED_CHARACTERS ? text : text.substring(0, MAX_LOGGED_CHARACTERS) + "...";
    }
}
