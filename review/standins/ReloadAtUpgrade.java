import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import linenring.testserver.TestBackend;

/** A new configuration moves discovery by SIGHUP while an upgrade is under way; then the hosts are replaced. */
public final class ReloadAtUpgrade {
    /** Discovery counts as having told after 6 s; then Contract.StopSendingWithin and the 300 ms of PROTOCOL.md. */
    private static final double TOLD_S = 6;

    private static final double GRACE_S = 2.5 + 0.3;

    public static void main(String[] arguments) throws Exception {
        boolean isKept;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            isKept = run(lab);
        }
        System.exit(isKept ? 0 : 1);
    }

    private static boolean run(Lab lab) throws Exception {
        TestBackend[] hosts = {new TestBackend(), new TestBackend(), new TestBackend(), new TestBackend()};
        Discovery.Catalogue catalogue = new Discovery.Catalogue(lab, 40);
        catalogue.set("s-1", hosts[0].address(), "Ready");
        catalogue.set("s-2", hosts[1].address(), "Ready");
        Discovery oldAddress = new Discovery(lab, catalogue, "discovery A");
        Discovery newAddress = new Discovery(lab, catalogue, "discovery B");
        Path directory = lab.folder.resolve("upgrade");
        Path configuration = lab.writeConfiguration(oldAddress.address(), catalogue.list(0, true));
        Process first = lab.serve(configuration, lab.writeGatewaySettings(" handover dir=\"" + directory + "\""));
        Caller caller = new Caller(lab, 50);
        Lab.pause(3);
        lab.note("answers at first: " + caller.takeOutcomes());

        Process upgrade = lab.start("exec java -jar target/linenring.jar upgrade " + directory, configuration);
        lab.note("upgrade requested");
        lab.awaitLog("has connected", 20); // the new process has read its configuration
        if (Lab.TROUBLE) {
            moveDiscovery(lab, oldAddress, newAddress, first);
        }
        if (!upgrade.waitFor(60, TimeUnit.SECONDS)) {
            throw new IOException("the upgrade has no result");
        }
        lab.note("the upgrade has ended with exit code " + upgrade.exitValue() + "; answers: " + caller.takeOutcomes());
        if (upgrade.exitValue() != 0) {
            throw new IOException("not upgraded");
        }
        Lab.pause(2);
        catalogue.set("s-3", hosts[2].address(), "Ready");
        catalogue.set("s-4", hosts[3].address(), "Ready");
        Lab.pause(1);
        catalogue.set("s-1", hosts[0].address(), "Terminating");
        catalogue.set("s-2", hosts[1].address(), "Terminating");
        Lab.pause(TOLD_S + GRACE_S + 1);
        int before = hosts[0].receivedRequests() + hosts[1].receivedRequests();
        lab.note("told and the grace is over; requests at the draining hosts so far: " + before);
        caller.takeOutcomes();
        Lab.pause(10);
        int later = hosts[0].receivedRequests() + hosts[1].receivedRequests() - before;
        lab.note("requests sent to draining hosts in 10 s after the grace: " + later + "; answers: " + caller.takeOutcomes()
                + "; requests at the ready hosts in all: " + (hosts[2].receivedRequests() + hosts[3].receivedRequests()));
        catalogue.set("s-1", hosts[0].address(), "Gone");
        catalogue.set("s-2", hosts[1].address(), "Gone");
        hosts[0].close();
        hosts[1].close();
        lab.note("the drained hosts' processes have ended");
        Lab.pause(5);
        caller.end();
        lab.note("answers in the 5 s after that: " + caller.takeOutcomes());
        lab.note(later > 0 ? "BROKEN: requests went to draining hosts" : "HELD");
        return later == 0;
    }

    /** Replaces the configuration and sends SIGHUP to the process that "run" started; the old address closes after 1.5 s. */
    private static void moveDiscovery(Lab lab, Discovery oldAddress, Discovery newAddress, Process first) throws Exception {
        lab.writeConfiguration(newAddress.address(), null);
        oldAddress.takeNoMore();
        lab.note("the configuration names discovery B; SIGHUP to process " + first.pid());
        Lab.signal("HUP", first.pid());
        Lab.pause(1.5);
        oldAddress.close();
    }
}
