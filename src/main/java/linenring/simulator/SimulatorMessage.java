package linenring.simulator;

import java.util.Arrays;
import linenring.settings.Lookup;

/**
 * One line of the simulator's wire, cut into its name and fields. It is used again for each line, as the simulator sends millions
 * of them.
 */
final class SimulatorMessage extends Lookup {
    private static final int INITIAL_FIELDS = 256;

    private String[] fieldNames = new String[INITIAL_FIELDS];
    private String[] fieldValues = new String[INITIAL_FIELDS];
    private int fieldCount;
    private long lineNumber;
    private String name = "";

    /** The first word of the line; empty for an empty line. */
    String name() {
        return name;
    }

    /** Takes the next line; throws {@link SimulatorInputException} for a field that has no name. */
    void read(String text, long newLineNumber) {
        lineNumber = newLineNumber;
        fieldCount = 0;
        int end = text.indexOf(' ');
        name = end < 0 ? text : text.substring(0, end);
        while (end >= 0 && end < text.length()) {
            int start = end + 1;
            end = text.indexOf(' ', start);
            int stop = end < 0 ? text.length() : end;
            if (stop > start) {
                addField(text, start, stop);
            }
        }
    }

    private void addField(String text, int start, int stop) {
        int equals = text.indexOf('=', start);
        if (equals < 0 || equals >= stop) {
            throw invalid("'" + text.substring(start, stop) + "' is not name=value");
        }
        if (fieldCount == fieldNames.length) {
            fieldNames = Arrays.copyOf(fieldNames, 2 * fieldCount);
            fieldValues = Arrays.copyOf(fieldValues, 2 * fieldCount);
        }
        fieldNames[fieldCount] = text.substring(start, equals);
        fieldValues[fieldCount] = text.substring(equals + 1, stop);
        fieldCount++;
    }

    /** What to throw where this line is not what was expected. */
    SimulatorInputException invalid(String detail) {
        return new SimulatorInputException(lineNumber, (name.isEmpty() ? "" : name + ": ") + detail);
    }

    @Override
    protected SimulatorInputException bad(String field, String detail) {
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
