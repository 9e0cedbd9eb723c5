import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A planned restart of the steward (SIGTERM, then `run` again) while an upgrade is in its probation. */
public final class RestartDuringUpgrade {
    private static final long READY_MS = 30_000;

    private RestartDuringUpgrade() {}

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, RestartDuringUpgrade::body);
    }

    private static boolean answersPing(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream().write("{\"@type\":\"PING\"}\n".getBytes(StandardCharsets.UTF_8));
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
            return line != null && line.contains("PONG");
        } catch (IOException failure) {
            return false;
        }
    }

    private static int body(Rig rig) throws Exception {
        Setup setup = new Setup(rig);
        for (int i = 1; i <= 4; i++) {
            H2Host host = new H2Host(rig, "s-" + i, 100, (path, key) -> 60);
            setup.agent.set("s-" + i, host.address(), "brussel", "small-2c", "Ready", 0);
        }
        setup.gatewaySettings = "handover dir=\"" + rig.temp.resolve("h") + "\""; // the probation is 10 s by default
        setup.serve();
        H2Client client = new H2Client(rig, setup.gatewayAddress, setup.gatewayPort);
        Rig.await(() -> client.call("GET", "/quote", "w" + rig.ms(), 3000).equals("200"), 15_000, "a first answer");
        Thread load = H2Host.daemon(() -> {
            for (int i = 0; i < 400; i++) {
                client.send("GET", "/quote", "q" + i);
                Rig.pause(50);
            }
        });
        load.start();
        Rig.pause(2000);
        if (rig.trouble) {
            H2Host.daemon(() -> {
                        try {
                            setup.upgrade();
                        } catch (Exception failure) {
                            rig.note("the upgrade failed: " + failure);
                        }
                    })
                    .start();
            rig.awaitLog("has the port", 20_000);
        }
        Rig.pause(2000);
        Process first = setup.process;
        rig.note("planned restart: SIGTERM to process " + first.pid() + ", which `run` has started");
        new ProcessBuilder("kill", "-TERM", String.valueOf(first.pid())).start().waitFor();
        if (!first.waitFor(10, TimeUnit.SECONDS)) {
            rig.note("SIGKILL after 10 s");
            first.destroyForcibly().waitFor();
        }
        rig.note("process " + first.pid() + " has ended with exit code " + first.exitValue());
        Rig.pause(2000);
        String command = Rig.runCommand(setup.gateway().toString());
        Process second = rig.start(
                "`run` again, under its name and address",
                command,
                Map.of("GW_CONFIG", setup.configuration().toString()));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (second.isAlive() && System.nanoTime() < end) {
            if (answersPing(setup.controllerPort) && second.toHandle().isAlive()) {
                Rig.pause(3000); // the answer may come from another process
                if (second.isAlive()) {
                    break;
                }
            }
            Rig.pause(100);
        }
        load.join();
        Rig.pause(3000);
        Map<String, Integer> counts = new TreeMap<>();
        client.results.values().forEach(result -> counts.merge(result, 1, Integer::sum));
        rig.note("results of the client: " + counts);
        if (!second.isAlive()) {
            rig.note("the restarted steward has ended by itself with exit code " + second.exitValue());
            rig.note("its address answers PING, by a process that the platform has not started: "
                    + answersPing(setup.controllerPort));
            return Rig.BROKEN;
        }
        boolean isReady = answersPing(setup.controllerPort);
        rig.note("the restarted steward is running; it answers PING: " + isReady);
        return isReady ? Rig.HELD : Rig.BROKEN;
    }
}
