package linenring.simulator;

import linenring.settings.Lookup;

/** One line of the wire, cut into its name and fields. It is used again for each line. */
final class SimulatorMessage extends Lookup {
    private String[] names = new String[256];
    private String[] values = new String[256];
    private int count;
    private long number;
    String name = "";

    void read(String text, long lineNumber) {
        number = lineNumber;
        count = 0;
        int end = text.indexOf(' ');
        name = end < 0 ? text : text.substring(0, end);
        while (end >= 0 && end < text.length()) {
            int start = end + 1;
            end = text.indexOf(' ', start);
            int stop = end < 0 ? text.length() : end;
            if (stop == start) {
                continue;
            }
            int equals = text.indexOf('=', start);
            if (equals < 0 || equals >= stop) {
                throw bad("'" + text.substring(start, stop) + "' is not name=value");
            }
            if (count == names.length) {
                names = java.util.Arrays.copyOf(names, 2 * count);
                values = java.util.Arrays.copyOf(values, 2 * count);
            }
            names[count] = text.substring(start, equals);
            values[count++] = text.substring(equals + 1, stop);
        }
    }

    SimulatorInputException bad(String what) {
        return new SimulatorInputException(number, (name.isEmpty() ? "" : name + ": ") + what);
    }

    @Override
    protected SimulatorInputException bad(String field, String what) {
        return bad("field " + field + (what.startsWith(":") ? what : " " + what));
    }

    @Override
    public String find(String field) {
        for (int i = 0; i < count; i++) {
            if (names[i].equals(field)) {
                return values[i];
            }
        }
        return null;
    }
}
