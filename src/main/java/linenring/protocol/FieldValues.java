package linenring.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import linenring.settings.Names;

/** Checks of field values: each returns the value in its type, or throws an exception that names the field. */
final class FieldValues {
    /** The longest part of a peer's text that goes into the log. */
    private static final int MAX_LOGGED_CHARACTERS = 40;

    private FieldValues() {}

    // ---- the types of JSON

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
            throw InvalidFieldException.ofField(field, "is neither true nor false");
        }
        return parser.getBooleanValue();
    }

    // ---- presence and range

    static <T> T required(String field, T value) throws InvalidFieldException {
        if (value == null) {
            throw InvalidFieldException.ofField(field, "is missing");
        }
        return value;
    }

    /** An integer from 0 to the maximum. */
    static int integer(String field, Double value, int max) throws InvalidFieldException {
        double number = required(field, value);
        if (number != Math.rint(number) || number < 0 || number > max) {
            throw InvalidFieldException.ofValue(field, number + " is not a whole number from 0 to " + max);
        }
        return (int) number;
    }

    /** A number from 0 to the maximum; NaN is none. */
    static double nonNegative(String field, Double value, double max) throws InvalidFieldException {
        double number = required(field, value);
        if (!(number >= 0 && number <= max)) {
            throw InvalidFieldException.ofValue(field, number + " is out of range");
        }
        return number;
    }

    // ---- names

    /** The index of a name that must be known. */
    static int knownIndex(String field, List<String> known, String name) throws InvalidFieldException {
        int index = known.indexOf(required(field, name));
        if (index < 0) {
            throw InvalidFieldException.ofValue(field, "unknown '" + abbreviated(name) + "'");
        }
        return index;
    }

    /** The index of a name; a name that is new gets the next one. */
    static int indexOrNext(String field, List<String> known, String name) throws InvalidFieldException {
        int index = Names.indexOrAdd(known, required(field, name));
        if (index < 0) {
            throw InvalidFieldException.ofValue(field, "one name too many, '" + abbreviated(name) + "'");
        }
        return index;
    }

    /** A peer's text at a length that is fit for the log. */
    static String abbreviated(String text) {
        return text.length() <= MAX_LOGGED_CHARACTERS ? text : text.substring(0, MAX_LOGGED_CHARACTERS) + "...";
    }
}
