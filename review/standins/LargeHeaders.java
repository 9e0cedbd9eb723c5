import java.nio.file.Path;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;

/** One client sends requests whose headers are below the gateway's limit; another one sends small requests all the time. */
public final class LargeHeaders {
    private static final int HOSTS = 2;
    /** With the other fields about 9 KiB; the gateway's limit "headers" is 16 KiB, its default. */
    private static final int LARGE_BYTES = 9 << 10;

    private static final int SMALL_BYTES = 1 << 10;
    /** The request and the client's two retries. */
    private static final int REQUESTS = 3;

    private static final double RETRY_WAIT_S = 0.1;
    private static final int OBSERVED_S = 20;

    public static void main(String[] arguments) throws Exception {
        boolean isKept;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            isKept = run(lab);
        }
        System.exit(isKept ? 0 : 1);
    }

    private static boolean run(Lab lab) throws Exception {
        TestBackend[] hosts = new TestBackend[HOSTS];
        Discovery.Catalogue catalogue = new Discovery.Catalogue(lab, 40);
        for (int i = 0; i < HOSTS; i++) {
            hosts[i] = new TestBackend();
            catalogue.set("s-" + (i + 1), hosts[i].address(), "Ready");
        }
        Discovery discovery = new Discovery(lab, catalogue, "discovery");
        lab.serve(lab.writeConfiguration(discovery.address(), catalogue.list(0, true)), lab.writeGatewaySettings(""));
        Caller caller = new Caller(lab, 20);
        Lab.pause(5);
        lab.note("answers to the steady client before: " + caller.takeOutcomes());
        int bytes = Lab.TROUBLE ? LARGE_BYTES : SMALL_BYTES;
        try (TestClient other = new TestClient(lab.gatewayPort)) {
            int status = 0;
            for (int i = 0; i < REQUESTS && status != 200; i++) {
                status = other.call("GET", "/quote", "cookie", "a".repeat(bytes)).status();
                lab.note("GET /quote of another client with a cookie of " + bytes + " bytes is answered " + status);
                Lab.pause(RETRY_WAIT_S);
            }
        }
        Lab.pause(1); // what was under way at that moment does not count
        lab.note("answers to the steady client in this second: " + caller.takeOutcomes());
        int failedBefore = failed(caller);
        for (int i = 0; i < OBSERVED_S; i++) {
            int before = received(hosts);
            Lab.pause(1);
            lab.note("answers to the steady client: " + caller.takeOutcomes() + "; requests that the hosts received: "
                    + (received(hosts) - before));
        }
        caller.end();
        int failed = failed(caller) - failedBefore;
        try (TestClient direct = new TestClient(port(hosts[0]))) {
            lab.note("host s-1, called directly, answers " + direct.call("GET", "/quote").status());
        }
        lab.note(failed > 0
                ? "BROKEN: " + failed + " requests of the steady client were answered 502 though both hosts serve"
                : "HELD");
        return failed == 0;
    }

    private static int port(TestBackend host) {
        return Integer.parseInt(host.address().substring(host.address().lastIndexOf(':') + 1));
    }

    private static int failed(Caller caller) {
        return caller.totals().getOrDefault("status 502", 0);
    }

    private static int received(TestBackend[] hosts) {
        int sum = 0;
        for (TestBackend host : hosts) {
            sum += host.receivedRequests();
        }
        return sum;
    }
}
