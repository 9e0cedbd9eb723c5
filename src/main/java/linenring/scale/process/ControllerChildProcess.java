package linenring.scale.process;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A real controller in a process of its own. It is killed at the latest when this process ends. */
public final class ControllerChildProcess implements AutoCloseable {
    private static final byte[] PING = "{\"@type\":\"PING\"}\n".getBytes(StandardCharsets.US_ASCII);
    private static final long PONG_TIMEOUT_MS = 20_000;
    private static final int PING_TIMEOUT_MS = 500;
    private static final long COMMAND_TIMEOUT_S = 20;
    private static final long PONG_POLL_MS = 50;
    private static final double KIBIBYTE = 1024;
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final Pattern HEAP_USED = Pattern.compile("(?:generation|heap) +total \\d+K, used (\\d+)K");

    private final String name;
    private final Path directory;
    private final InetSocketAddress listen;
    private Process process;
    private Thread killer;

    /** A controller that is not started yet, with a free port; its files go to {@code directory}. */
    public ControllerChildProcess(String name, Path directory) throws IOException {
        this.name = name;
        this.directory = directory;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listen = (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    /** Where it listens. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Starts it, or starts it again; its log goes on in the same file. */
    public void start(MeasuredConfiguration measured, InetSocketAddress catalogue) throws IOException {
        Path configuration = directory.resolve(name + ".json");
        Files.write(configuration, measured.json(name, listen, catalogue));
        ProcessBuilder builder = new ProcessBuilder(LaunchCommand.command())
                .directory(directory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
        builder.environment().put("GW_CONFIG", configuration.toString());
        builder.environment().keySet().removeAll(List.of("GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "JAVA_TOOL_OPTIONS"));
        process = builder.start();
        if (killer == null) {
            killer = new Thread(this::kill);
            Runtime.getRuntime().addShutdownHook(killer);
        }
    }

    private File log() {
        return directory.resolve(name + ".log").toFile();
    }

    /** Waits for its first PONG; false if it has ended or none comes in time. */
    public boolean awaitPong() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PONG_TIMEOUT_MS);
        while (process.isAlive() && System.nanoTime() < end) {
            if (answers()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(PONG_POLL_MS);
        }
        return false;
    }

    private boolean answers() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, PING_TIMEOUT_MS);
            socket.setSoTimeout(PING_TIMEOUT_MS);
            socket.getOutputStream().write(PING);
            return socket.getInputStream().read() == '{';
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Whether it runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** How it ended, as text, with the last line of its log. */
    public String ending() {
        return (process.isAlive() ? "" : "ended with exit code " + process.exitValue() + "; ") + "last log line: "
                + lastLogLine();
    }

    /** The lines of its log. */
    public List<String> logLines() {
        try {
            return Files.readAllLines(log().toPath());
        } catch (IOException unreadable) {
            return List.of();
        }
    }

    private String lastLogLine() {
        List<String> lines = new ArrayList<>(logLines());
        lines.removeIf(String::isBlank);
        return lines.isEmpty() ? "none" : lines.get(lines.size() - 1);
    }

    // ---- what it uses

    private Path proc() {
        return Path.of("/proc", Long.toString(process.pid()));
    }

    /** Its processor time so far; by thread only if {@code byThread}. */
    public ProcessorTimes processorTimes(boolean byThread) throws IOException {
        return ProcessorTimes.read(proc(), byThread);
    }

    /** Its resident memory. */
    public double residentBytes() throws IOException {
        Matcher resident = RESIDENT.matcher(Files.readString(proc().resolve("status")));
        return resident.find() ? KIBIBYTE * Long.parseLong(resident.group(1)) : Double.NaN;
    }

    /** Its heap in use after a full collection, or NaN if the JDK has no jcmd. */
    public double heapBytesAfterCollection() throws InterruptedException {
        if (jcmd("GC.run") == null) {
            return Double.NaN;
        }
        String info = jcmd("GC.heap_info");
        Matcher used = HEAP_USED.matcher(info == null ? "" : info);
        double bytes = Double.NaN;
        while (used.find()) { // of each generation
            bytes = (Double.isNaN(bytes) ? 0 : bytes) + KIBIBYTE * Long.parseLong(used.group(1));
        }
        return bytes;
    }

    /** The output of the command, or null if there is none. */
    private String jcmd(String command) throws InterruptedException {
        Path program = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        if (!Files.isExecutable(program)) {
            return null;
        }
        Path output = directory.resolve(name + ".jcmd");
        try {
            Process running = new ProcessBuilder(program.toString(), Long.toString(process.pid()), command)
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            if (!running.waitFor(COMMAND_TIMEOUT_S, TimeUnit.SECONDS)) {
                running.destroyForcibly();
                return null;
            }
            return running.exitValue() == 0 ? Files.readString(output) : null;
        } catch (IOException failed) {
            return null;
        }
    }

    // ---- its end

    /** Kills it, without a chance to shut down. */
    public void kill() {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        try {
            process.waitFor(COMMAND_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        kill();
        try {
            if (killer != null) {
                Runtime.getRuntime().removeShutdownHook(killer);
            }
        } catch (IllegalStateException shuttingDown) {
            // this process ends: the hook runs and finds nothing left to do
        }
        killer = null;
    }
}
