import java.io.BufferedReader;
import java.io.FileWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The surroundings of one case: a temporary folder, the record, and the project's processes, started by the deploy file's command. */
final class Lab implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long READY_MS = 30_000;
    private static final int MIN_PORT = 21_000;
    private static final int MAX_PORT = 31_000;
    private static final int MAX_PORT_ATTEMPTS = 100;

    /** The classes of a small deployment, after the example of the settings in WIRE; times in microseconds. */
    private static final String CLASSES = "{\"Name\":\"quote\",\"Aim\":750000,\"Deadline\":2000000,\"Points\":2.0},"
            + "{\"Name\":\"book\",\"Aim\":1200000,\"Deadline\":4000000,\"Points\":3.0},"
            + "{\"Name\":\"assign\",\"Aim\":750000,\"Deadline\":2000000,\"Points\":3.0}";

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final int controllerPort = freePort();
    final int gatewayPort = freePort();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Path log;

    Lab(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("linenring-review");
        log = folder.resolve("serve.log");
        Files.createFile(log);
        record = new PrintWriter(
                new FileWriter(caseFolder.resolve("record.txt").toFile(), StandardCharsets.UTF_8), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble: " + (TROUBLE ? "on" : "off"));
    }

    /** Returns a free port below the range from which the system gives ports to other sockets of the case meanwhile. */
    static int freePort() {
        for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // another port is tried
            }
        }
        throw new IllegalStateException("no free port");
    }

    double nowS() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String line) {
        record.printf("%8.3f %s%n", nowS(), line);
    }

    static void pause(double seconds) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) (seconds * 1000));
    }

    /** Writes the controller's configuration; {@code known} is the host list as the controller last had it, or null. */
    Path writeConfiguration(String discovery, String known) throws IOException {
        Path file = folder.resolve("config.json");
        Path next = folder.resolve("config.json.new");
        Files.writeString(
                next,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + controllerPort + "\",\"discovery\":\"" + discovery + "\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + (known == null ? "" : "\"known\":" + known + ",")
                        + "\"settings\":{\"Azs\":[\"brussel\",\"antwerpen\",\"gent\"],\"Kinds\":[\"small-2c\",\"wide-4c\"],"
                        + "\"Discovery\":\"pushed\",\"FleetSize\":1,\"Quantum\":4000,\"Classes\":[" + CLASSES + "],"
                        + "\"Contract\":{\"Cold\":18000000,\"ColdFrom\":0.18,\"StopSendingWithin\":2500000},"
                        + "\"Specifics\":{\"ProxyCount\":6,\"PushRate\":1200.0,\"PerMessage\":4.0,\"MostWaiting\":1800.0,"
                        + "\"UpdateCap\":30,\"CountedOver\":10000000,\"Propagation\":103000,\"TransitMax\":257500,"
                        + "\"ThrottleBy\":\"fraction\",\"DefaultSize\":6}}}");
        Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        return file;
    }

    /** Writes the gateway's settings, with further lines. The deploy file's memory is 72 MiB, and in-all needs itself and 64 MiB. */
    Path writeGatewaySettings(String more) throws IOException {
        Path file = folder.resolve("front.kdl");
        Files.writeString(
                file,
                "front {\n listen \"127.0.0.1:" + gatewayPort + "\"\n proxy id=5 zone=\"brussel\" usual=50\n"
                        + " mark-header \"x-mark\"\n"
                        + " operation \"quote\" effect=\"idempotent\" objective=\"750ms\" timeout=\"2s\"\n"
                        + " operation \"book\" effect=\"fingerprinted\" window=\"2.5s\" objective=\"1.2s\" timeout=\"4s\"\n"
                        + " operation \"assign\" effect=\"side-effecting\" objective=\"750ms\" timeout=\"2s\"\n"
                        + " route \"GET\" \"/quote\" operation=\"quote\"\n route \"POST\" \"/book\" operation=\"book\"\n"
                        + " route \"POST\" \"/assign\" operation=\"assign\"\n"
                        + " body in-all=\"4MiB\"\n" + more + "\n}\n");
        return file;
    }

    /** Starts a controller with a gateway by the command "run" of the deploy file, and waits until both serve. */
    Process serve(Path configuration, Path gatewaySettings) throws IOException, InterruptedException {
        Process process = start(runCommand() + " --front " + gatewaySettings, configuration);
        long offset = Files.size(log);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (System.nanoTime() < endNanos && process.isAlive()) {
            if (logFrom(offset).contains("gateway accepts requests") && answersPing()) {
                note("the controller and its gateway are ready, process " + process.pid());
                return process;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new IOException("the controller is not ready");
    }

    /** Starts a shell command in the project's root; its output goes to the log. */
    Process start(String command, Path configuration) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
        builder.environment().put("GW_CONFIG", configuration.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw new IOException("deploy/balancer.toml has no command run");
    }

    boolean answersPing() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), controllerPort)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("{\"@type\":\"PING\"}\n".getBytes(StandardCharsets.UTF_8));
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
            return line != null && line.contains("PONG");
        } catch (IOException failure) {
            return false;
        }
    }

    String logFrom(long offset) throws IOException {
        byte[] bytes = Files.readAllBytes(log);
        return new String(bytes, (int) offset, bytes.length - (int) offset, StandardCharsets.UTF_8);
    }

    /** Waits until the log has this text. */
    void awaitLog(String text, double seconds) throws IOException, InterruptedException {
        double end = nowS() + seconds;
        while (!logFrom(0).contains(text)) {
            if (nowS() > end) {
                throw new IOException("the log lacks: " + text);
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    static void signal(String name, long pid) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        // a successor outlives the process that started it, so it is found by its command line, which has this folder's name
        ProcessHandle.allProcesses()
                .filter(handle -> handle.pid() != ProcessHandle.current().pid())
                .filter(handle -> handle.info().commandLine().orElse("").contains(folder.toString()))
                .forEach(ProcessHandle::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        record.println("--- log of the project's processes");
        record.print(logFrom(0));
        record.flush();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
