package linenring.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Runs the planners of simulated controllers over the simulator's protocol. The input is a stream of batches of
 * messages to controllers. At the end of a batch each controller that received a message makes its decisions; the reply
 * to the batch contains the controllers' commands.
 */
public final class SimulatorAdapter {
    private static final int INPUT_BUFFER_CHARS = 1 << 16;

    private final BufferedReader input;
    private final OutputStream output;
    private final SimulatorMessage message = new SimulatorMessage();
    private final Map<Integer, SimulatedController> controllers = new TreeMap<>();
    private final HostLists lists = new HostLists();
    /** Controllers that received a message in the current batch, in the order of their first message. */
    private final Set<SimulatedController> controllersInBatch = new LinkedHashSet<>();

    private long lineNumber;
    private double nowMs;

    private SimulatorAdapter(InputStream input, OutputStream output) {
        this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
        this.output = output;
    }

    /** Serves batches until the input ends and returns the exit code, which is 1 for invalid input. */
    public static int run(InputStream input, PrintStream output, PrintStream errors) throws IOException {
        try {
            SimulatorAdapter adapter = new SimulatorAdapter(input, output);
            while (adapter.serveBatch()) {
                output.flush();
            }
            return 0;
        } catch (SimulatorInputException invalid) {
            errors.println("linenring: " + invalid.getMessage());
            return 1;
        }
    }

    /** Reads the next line into the current message; false at the end of the input. */
    private boolean readLine() throws IOException {
        String text = input.readLine();
        lineNumber++;
        if (text == null) {
            return false;
        }
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        message.read(text, lineNumber);
        return true;
    }

    private void requireLine(String enclosingBlock) throws IOException {
        if (!readLine()) {
            throw new SimulatorInputException(lineNumber, "the input ends inside a " + enclosingBlock);
        }
    }

    /** Reads one batch and replies to it; false at the end of the input. */
    private boolean serveBatch() throws IOException {
        do {
            if (!readLine()) {
                return false;
            }
        } while (message.name().isEmpty());
        if (!message.name().equals("batch")) {
            throw message.invalid("expected a batch");
        }
        nowMs = message.millis("Now");
        requireLine("batch");
        while (!message.name().equals("eob")) {
            if (!message.name().isEmpty()) {
                handleMessage();
            }
            requireLine("batch");
        }
        reply();
        return true;
    }

    private void reply() throws IOException {
        StringBuilder reply = new StringBuilder();
        for (SimulatedController controller : controllersInBatch) {
            reply.append(controller.reconcile());
        }
        controllersInBatch.clear();
        output.write(reply.append("next\n").toString().getBytes(StandardCharsets.UTF_8));
    }

    private void handleMessage() throws IOException {
        if (message.name().equals("catalog")) {
            readHostList();
            return;
        }
        int id = message.index("StewardId");
        if (message.name().equals("provision")) {
            controllers.computeIfAbsent(id, SimulatedController::new).start(message);
        }
        SimulatedController controller = controllers.get(id);
        if (controller == null) {
            throw message.invalid("field StewardId: controller " + id + " was never started");
        }
        controllersInBatch.add(controller);
        if (message.name().equals("crash_now")) {
            controller.crash();
        } else {
            controller.receive(message, lists, nowMs);
        }
    }

    private void readHostList() throws IOException {
        int number = message.index("Bank");
        int count = message.index("Items");
        List<HostLists.Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requireLine("list");
            if (!message.name().equals("entry")) {
                throw message.invalid("expected an entry");
            }
            entries.add(HostLists.Entry.read(message));
        }
        lists.put(number, entries);
    }
}
