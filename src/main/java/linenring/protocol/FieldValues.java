package linenring.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import linenring.settings.Names;

/** Typed values of fields, checked; each fault names its field. */
final class FieldValues {
    private FieldValues() {}

    static String text(String field, JsonParser in) throws IOException, InvalidFieldException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new InvalidFieldException("field " + field + " is not text");
        }
        return in.getText();
    }

    static double number(String field, JsonParser in) throws IOException, InvalidFieldException {
        if (!in.currentToken().isNumeric()) {
            throw new InvalidFieldException("field " + field + " is not a number");
        }
        return in.getDoubleValue();
    }

    static boolean truth(String field, JsonParser in) throws IOException, InvalidFieldException {
        if (!in.currentToken().isBoolean()) {
            throw new InvalidFieldException("field " + field + " is neither true nor false");
        }
        return in.getBooleanValue();
    }

    static <T> T present(String field, T value) throws InvalidFieldException {
        if (value == null) {
            throw new InvalidFieldException("field " + field + " is missing");
        }
        return value;
    }

    /** A whole number from 0 to the most. */
    static int whole(String field, Double value, int most) throws InvalidFieldException {
        double v = present(field, value);
        if (v != Math.rint(v) || v < 0 || v > most) {
            throw new InvalidFieldException("field " + field + ": " + v + " is not a whole number from 0 to " + most);
        }
        return (int) v;
    }

    /** A number from 0 to the most. */
    static double from0(String field, Double value, double most) throws InvalidFieldException {
        double v = present(field, value);
        if (!(v >= 0 && v <= most)) {
            throw new InvalidFieldException("field " + field + ": " + v + " is out of range");
        }
        return v;
    }

    /** Its place, which must exist. */
    static int place(String field, List<String> among, String name) throws InvalidFieldException {
        int at = among.indexOf(present(field, name));
        if (at < 0) {
            throw new InvalidFieldException("field " + field + ": unknown '" + shown(name) + "'");
        }
        return at;
    }

    /** Its place, which a zone or kind that the list alone names gets now. */
    static int grown(String field, List<String> among, String name) throws InvalidFieldException {
        int at = Names.place(among, present(field, name));
        if (at < 0) {
            throw new InvalidFieldException("field " + field + ": one name too many, '" + shown(name) + "'");
        }
        return at;
    }

    /** Strangers' words go into the log shortened. */
    static String shown(String word) {
        return word.length() <= 40 ? word : word.substring(0, 40) + "...";
    }
}
