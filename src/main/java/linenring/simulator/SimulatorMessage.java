package linenring.simulator;

import java.util.Arrays;
import linenring.settings.Lookup;

/**
 * One line of the simulator's protocol, split into its name and fields. The object is reused for each line, because the
 * simulator sends millions of lines.
 */
final class SimulatorMessage extends Lookup {
    private static final int INITIAL_FIELDS = 256;

    private String[] fieldNames = new String[INITIAL_FIELDS];
    private String[] fieldValues = new String[INITIAL_FIELDS];
    private int fieldCount;
    private long lineNumber;
    private String name = "";

    /** Returns the first word of the line; empty for an empty line. */
    String name() {
        return name;
    }

    /** Parses the next line; throws {@link SimulatorInputException} for a field that is not of the form name=value. */
    void read(String text, long inputLineNumber) {
        lineNumber = inputLineNumber;
        fieldCount = 0;
        int end = text.indexOf(' ');
        name = end < 0 ? text : text.substring(0, end);
        while (end >= 0 && end < text.length()) {
            int fieldStart = end + 1;
            end = text.indexOf(' ', fieldStart);
            int fieldEnd = end < 0 ? text.length() : end;
            if (fieldEnd > fieldStart) {
                addField(text, fieldStart, fieldEnd);
            }
        }
    }

    private void addField(String text, int fieldStart, int fieldEnd) {
        int equals = text.indexOf('=', fieldStart);
        if (equals < 0 || equals >= fieldEnd) {
            throw invalid("'" + text.substring(fieldStart, fieldEnd) + "' is not a field of the form name=value");
        }
        if (fieldCount == fieldNames.length) {
            fieldNames = Arrays.copyOf(fieldNames, 2 * fieldCount);
            fieldValues = Arrays.copyOf(fieldValues, 2 * fieldCount);
        }
        fieldNames[fieldCount] = text.substring(fieldStart, equals);
        fieldValues[fieldCount] = text.substring(equals + 1, fieldEnd);
        fieldCount++;
    }

    /** Returns the exception to throw for an error in this line. */
    SimulatorInputException invalid(String detail) {
        return new SimulatorInputException(lineNumber, (name.isEmpty() ? "" : name + ": ") + detail);
    }

    @Override
    protected SimulatorInputException invalidValue(String field, String detail) {
        return invalid("field " + field + (detail.startsWith(":") ? detail : " " + detail));
    }

    @Override
    public String find(String field) {
        for (int i = 0; i < fieldCount; i++) {
            if (fieldNames[i].equals(field)) {
                return fieldValues[i];
            }
        }
        return null;
    }
}
