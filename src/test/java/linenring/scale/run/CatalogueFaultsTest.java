package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import linenring.discovery.HostWatch;
import linenring.discovery.WatchConfig;
import linenring.event.EventQueue;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.ServiceScope;
import linenring.scale.catalogue.Catalogue;
import linenring.scale.catalogue.CatalogueChange;
import linenring.scale.catalogue.CatalogueHost;
import linenring.scale.catalogue.CatalogueLayout;
import linenring.scale.catalogue.CatalogueServer;
import linenring.scale.fleet.ListLedger;
import linenring.settings.Names;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the real host watch against faults of the simulated discovery agent, over loopback. */
class CatalogueFaultsTest {
    private static final Await AWAIT = new Await(30);

    private final Catalogue catalogue = new Catalogue(new CatalogueLayout(40, 2, 2, 4, 5));
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("test-timer", true);
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final ListLedger ledger = new ListLedger();
    private CatalogueServer server;
    private HostWatch watch;

    @BeforeEach
    void open() throws Exception {
        server = new CatalogueServer(catalogue, "test-catalogue");
        server.open();
        scheduler.start();
    }

    private void watch() throws Exception {
        EventQueue events = new EventQueue();
        events.addHostListListener(ledger::record);
        CatalogueLayout layout = catalogue.layout();
        Names names = new Names(layout.zoneNames(), layout.kindNames(), List.of("lookup"), 1, 4);
        Log log = new Log(new PrintStream(logged, true));
        WatchConfig config = new WatchConfig(server.address(), ServiceScope.ALL, null, reason -> {
            throw new AssertionError(reason);
        });
        watch = new HostWatch(config, new Codec(names), events, log, executor, scheduler);
        watch.open();
    }

    @AfterEach
    void close() throws Exception {
        watch.stop();
        server.close();
        scheduler.stop();
        executor.shutdownNow();
    }

    private List<CatalogueHost> hostsOfZone(int zone) {
        return catalogue.hosts(host -> host.zone() == zone);
    }

    private void assertLedgerMatchesCatalogue() throws InterruptedException {
        assertTrue(AWAIT.until(() -> ledger.version() == catalogue.version()), logged.toString(StandardCharsets.UTF_8));
        assertEquals(catalogue.readyIds(), ledger.readyIds());
        assertEquals(List.of(), ledger.faults());
    }

    private void publish(CatalogueChange change) {
        server.publish(change);
    }

    @Test
    void requestsTheListAgainAfterATruncatedEntry() throws Exception {
        server.cutNextLists(2);
        watch();
        assertLedgerMatchesCatalogue();
        assertEquals(1, ledger.completeLists()); // entries of truncated lists must not be applied
    }

    @Test
    void skipsInvalidEntriesUntilTheyChange() throws Exception {
        server.corruptNextLists(1, 3);
        watch();
        assertTrue(AWAIT.until(() -> ledger.version() == catalogue.version()));
        Set<String> invalidIds = catalogue.hosts(host -> true).subList(0, 3).stream()
                .map(CatalogueHost::id)
                .collect(Collectors.toSet());
        Set<String> validIds = catalogue.readyIds();
        validIds.removeAll(invalidIds);
        assertEquals(validIds, ledger.readyIds());
        publish(catalogue.start(catalogue.hosts(host -> invalidIds.contains(host.id())), 5));
        assertLedgerMatchesCatalogue();
    }

    @Test
    void receivesChangesMissedDuringASilenceInOneDelta() throws Exception {
        watch();
        assertLedgerMatchesCatalogue();
        assertTrue(AWAIT.until(() -> server.watchersAt(catalogue.version()) == 1));
        server.setSilent(true);
        for (CatalogueHost host : hostsOfZone(0)) {
            publish(catalogue.replace(List.of(host), 7));
        }
        publish(catalogue.terminate(hostsOfZone(1)));
        assertTrue(AWAIT.until(() -> logged.toString(StandardCharsets.UTF_8)
                .contains("nothing came for"))); // the watch reconnects, and the agent still sends nothing
        server.setSilent(false);
        assertLedgerMatchesCatalogue();
        assertEquals(1, ledger.deltas());
        assertEquals(1, ledger.mergedDeltas());
    }

    @Test
    void appliesAReturningZoneInOneList() throws Exception {
        watch();
        assertLedgerMatchesCatalogue();
        List<CatalogueHost> lostHosts = hostsOfZone(1);
        publish(catalogue.remove(lostHosts));
        assertLedgerMatchesCatalogue();
        publish(catalogue.start(lostHosts, 9));
        assertLedgerMatchesCatalogue();
        assertEquals(0, ledger.mergedDeltas());
    }

    @Test
    void reconnectsToARestartedAgentWithoutLoss() throws Exception {
        watch();
        assertLedgerMatchesCatalogue();
        server.disconnectAll();
        publish(catalogue.terminate(hostsOfZone(0)));
        publish(catalogue.remove(hostsOfZone(0)));
        assertLedgerMatchesCatalogue();
    }
}
