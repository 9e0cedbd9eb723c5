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

/** A real controller in a child process, which is killed at the latest when this process shuts down. */
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
    private final InetSocketAddress listenAddress;
    private Process process;
    private Thread shutdownHook;

    /**
     * Reserves a free port for a controller, which is not started yet; configuration and log are written to this
     * directory.
     */
    public ControllerChildProcess(String name, Path directory) throws IOException {
        this.name = name;
        this.directory = directory;
        try (ServerSocket unusedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listenAddress = (InetSocketAddress) unusedPort.getLocalSocketAddress();
        }
    }

    /** Returns the address on which the controller listens. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /** Starts or restarts the controller; a restart appends to the same log file. */
    public void start(MeasuredConfiguration settings, InetSocketAddress catalogueAddress) throws IOException {
        Path configuration = directory.resolve(name + ".json");
        Files.write(configuration, settings.json(name, listenAddress, catalogueAddress));
        ProcessBuilder builder = new ProcessBuilder(LaunchCommand.command())
                .directory(directory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile()));
        builder.environment().put("GW_CONFIG", configuration.toString());
        builder.environment().keySet().removeAll(List.of("GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "JAVA_TOOL_OPTIONS"));
        process = builder.start();
        if (shutdownHook == null) {
            shutdownHook = new Thread(this::kill);
            Runtime.getRuntime().addShutdownHook(shutdownHook);
        }
    }

    private File logFile() {
        return directory.resolve(name + ".log").toFile();
    }

    /**
     * Waits until the controller answers a PING; returns false if the process exits or does not answer before the timeout.
     */
    public boolean awaitPong() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PONG_TIMEOUT_MS);
        while (process.isAlive() && System.nanoTime() < deadlineNanos) {
            if (answersPing()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(PONG_POLL_MS);
        }
        return false;
    }

    private boolean answersPing() {
        try (Socket socket = new Socket()) {
            socket.connect(listenAddress, PING_TIMEOUT_MS);
            socket.setSoTimeout(PING_TIMEOUT_MS);
            socket.getOutputStream().write(PING);
            return socket.getInputStream().read() == '{';
        } catch (IOException notListening) {
            return false;
        }
    }

    /** Whether the controller process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit code if the controller process has ended, and the last line of its log, as text. */
    public String exitDescription() {
        return (process.isAlive() ? "" : "ended with exit code " + process.exitValue() + "; ") + "last log line: "
                + lastLogLine();
    }

    /** Returns the lines of the controller's log; empty if the log cannot be read. */
    public List<String> logLines() {
        try {
            return Files.readAllLines(logFile().toPath());
        } catch (IOException unreadable) {
            return List.of();
        }
    }

    private String lastLogLine() {
        List<String> lines = new ArrayList<>(logLines());
        lines.removeIf(String::isBlank);
        return lines.isEmpty() ? "none" : lines.get(lines.size() - 1);
    }

    private Path procDirectory() {
        return Path.of("/proc", Long.toString(process.pid()));
    }

    /** Reads the processor time that the controller has used; of each thread only if {@code byThread}. */
    public ProcessorTimes processorTimes(boolean byThread) throws IOException {
        return ProcessorTimes.read(procDirectory(), byThread);
    }

    /** Reads the resident memory of the controller process; NaN if the kernel does not report it. */
    public double residentBytes() throws IOException {
        Matcher residentMatcher =
                RESIDENT.matcher(Files.readString(procDirectory().resolve("status")));
        return residentMatcher.find() ? KIBIBYTE * Long.parseLong(residentMatcher.group(1)) : Double.NaN;
    }

    /** Runs a full garbage collection in the controller and returns the heap in use, or NaN if jcmd is missing or fails. */
    public double heapBytesAfterCollection() throws InterruptedException {
        if (runJcmd("GC.run") == null) {
            return Double.NaN;
        }
        String heapInfo = runJcmd("GC.heap_info");
        Matcher heapUsed = HEAP_USED.matcher(heapInfo == null ? "" : heapInfo);
        double bytes = Double.NaN;
        while (heapUsed.find()) { // one match for each heap generation
            bytes = (Double.isNaN(bytes) ? 0 : bytes) + KIBIBYTE * Long.parseLong(heapUsed.group(1));
        }
        return bytes;
    }

    /** Returns the output of a jcmd command, or null if jcmd is missing, fails or times out. */
    private String runJcmd(String command) throws InterruptedException {
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

    /** Kills the controller process without a graceful shutdown. */
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
            if (shutdownHook != null) {
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
            }
        } catch (IllegalStateException shuttingDown) {
            // This process is shutting down, so the hook runs anyway; the controller is already killed.
        }
        shutdownHook = null;
    }
}
