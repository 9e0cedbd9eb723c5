package linenring.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.load.LoadGenerator;
import linenring.testserver.LoadClient;

/** Measurements by hand against a front of another process; see docs/results.md. Not run with the tests. */
public final class GatewayMeasurements {
    private GatewayMeasurements() {}

    /** {@code idle PORT CONNECTIONS STREAMS SECONDS} holds streams open; {@code sinners PORT COUNT} has them beside a load. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int port = Integer.parseInt(args[1]), count = Integer.parseInt(args[2]);
        List<LoadClient> callers = new ArrayList<>();
        if (args[0].equals("idle")) {
            for (int i = 0; i < count; i++) {
                callers.add(new LoadClient(port));
                for (int s = 0; s < Integer.parseInt(args[3]); s++) {
                    callers.get(i).send("GET", "/read/idle");
                }
            }
            TimeUnit.SECONDS.sleep(Integer.parseInt(args[4]));
            int over = 0;
            for (LoadClient c : callers) {
                for (int s = 0; s < Integer.parseInt(args[3]); s++) {
                    over += c.answer(2 * s + 1).isOver() ? 1 : 0;
                }
            }
            System.out.println(count + " connections, " + over + " streams over");
            return;
        }
        LoadGenerator.Plan plan = new LoadGenerator.Plan(
                "127.0.0.1",
                port,
                List.of(new LoadGenerator.Call("read", "GET", "/read", 1, false)),
                1000,
                1,
                4,
                8,
                3,
                5000,
                1);
        System.out.print("without: " + LoadGenerator.table(LoadGenerator.run(plan)));
        for (int i = 0; i < count; i++) {
            LoadClient c = new LoadClient(port).ignoringWindows();
            callers.add(c);
            c.send("GET", "/read/large");
        }
        System.out.print("with " + count + ": " + LoadGenerator.table(LoadGenerator.run(plan)));
        long still = callers.stream().filter(c -> !c.answer(1).isOver()).count();
        System.out.println(still + " of them still hold their stream");
    }
}
