package linenring.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
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

/** The real host watch at the stand-in catalogue, over loopback, where the catalogue is at fault. */
class CatalogueFaultsTest {
    private static final long GIVE_UP_S = 30; // not an assert on time: where it hangs, it ends

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
        EventQueue exchange = new EventQueue();
        exchange.addHostListListener(ledger::listed);
        CatalogueLayout layout = catalogue.layout();
        Names names = new Names(layout.zoneNames(), layout.kindNames(), List.of("lookup"), 1, 4);
        Log log = new Log(new PrintStream(logged, true));
        WatchConfig config = new WatchConfig(server.address(), ServiceScope.ALL, null, why -> {
            throw new AssertionError(why);
        });
        watch = new HostWatch(config, new Codec(names), exchange, log, executor, scheduler);
        watch.open();
    }

    @AfterEach
    void close() throws Exception {
        watch.stop();
        server.close();
        scheduler.stop();
        executor.shutdownNow();
    }

    private static boolean await(BooleanSupplier what) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GIVE_UP_S);
        while (!what.getAsBoolean() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return what.getAsBoolean();
    }

    private List<CatalogueHost> zone(int zone) {
        return catalogue.hosts(h -> h.zone() == zone);
    }

    private void assertHoldsTheCatalogue() throws InterruptedException {
        assertTrue(await(() -> ledger.version() == catalogue.version()), logged.toString());
        assertEquals(catalogue.readyIds(), ledger.readyIds());
        assertEquals(List.of(), ledger.faults());
    }

    private void publish(CatalogueChange change) {
        server.publish(change);
    }

    @Test
    void aListThatIsCutWithinAnEntryIsAskedForAgain() throws Exception {
        server.cutNextLists(2);
        watch();
        assertHoldsTheCatalogue();
        assertEquals(1, ledger.completeLists()); // of the cut ones nothing was taken
    }

    @Test
    void spoiltEntriesAreLeftOutAloneUntilTheyChange() throws Exception {
        server.corruptNextLists(1, 3);
        watch();
        assertTrue(await(() -> ledger.version() == catalogue.version()));
        Set<String> spoilt = catalogue.hosts(h -> true).subList(0, 3).stream()
                .map(CatalogueHost::id)
                .collect(Collectors.toSet());
        Set<String> others = catalogue.readyIds();
        others.removeAll(spoilt);
        assertEquals(others, ledger.readyIds());
        publish(catalogue.start(catalogue.hosts(h -> spoilt.contains(h.id())), 5));
        assertHoldsTheCatalogue();
    }

    @Test
    void whatChangedInASilenceIsCaughtUpInOneLine() throws Exception {
        watch();
        assertHoldsTheCatalogue();
        assertTrue(await(() -> server.watchersAt(catalogue.version()) == 1));
        server.setSilent(true);
        for (CatalogueHost host : zone(0)) {
            publish(catalogue.replace(List.of(host), 7));
        }
        publish(catalogue.terminate(zone(1)));
        assertTrue(await(() -> logged.toString().contains("nothing came for"))); // it dials again, and hears nothing
        server.setSilent(false);
        assertHoldsTheCatalogue();
        assertEquals(1, ledger.deltas());
        assertEquals(1, ledger.catchUps());
    }

    @Test
    void aZoneComesBackInOneList() throws Exception {
        watch();
        assertHoldsTheCatalogue();
        List<CatalogueHost> lost = zone(1);
        publish(catalogue.remove(lost));
        assertHoldsTheCatalogue();
        publish(catalogue.start(lost, 9));
        assertHoldsTheCatalogue();
        assertEquals(0, ledger.catchUps());
    }

    @Test
    void anAgentThatRestartsIsDialledAgainAndNothingIsLost() throws Exception {
        watch();
        assertHoldsTheCatalogue();
        server.disconnectAll();
        publish(catalogue.terminate(zone(0)));
        publish(catalogue.remove(zone(0)));
        assertHoldsTheCatalogue();
    }
}
