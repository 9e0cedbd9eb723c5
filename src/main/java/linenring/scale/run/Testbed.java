package linenring.scale.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import linenring.configuration.ConfigurationException;
import linenring.configuration.ControllerConfiguration;
import linenring.configuration.ControllerConfigurationReader;
import linenring.routing.HostRegistry;
import linenring.scale.catalogue.Catalogue;
import linenring.scale.catalogue.CatalogueEvents;
import linenring.scale.catalogue.CatalogueLayout;
import linenring.scale.catalogue.CatalogueServer;
import linenring.scale.fleet.ChannelLimits;
import linenring.scale.fleet.FleetLayout;
import linenring.scale.fleet.InProcessFleets;
import linenring.scale.fleet.SimulatedFleet;
import linenring.scale.fleet.SimulatedProxy;
import linenring.scale.measurement.Workload;
import linenring.scale.process.MeasuredConfiguration;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** A catalogue with its real and hollow stewards and their fleets, on loopback, for one workload. */
final class Testbed implements AutoCloseable {
    /** Three operations that all hosts run. */
    static final List<String> OPERATIONS = List.of("lookup", "order", "report");

    private static final int KINDS = 2;
    private static final int HOSTS_PER_RACK = 40;
    private static final double REQUESTS_PER_PROXY = 20; // a second
    private static final long POLL_MS = 50;

    private final Workload workload;
    private final long seed;
    private final boolean keepsLedgers;
    private final Path folder;
    private final Catalogue catalogue;
    private final List<String> scope;
    private final HostRegistry hosts = new HostRegistry();
    private final CatalogueDriver driver;
    private final CatalogueServer hollowCatalogue;
    private final InProcessFleets memoryFleets = new InProcessFleets();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("hollow-timer", true);
    private final List<RealMember> real = new ArrayList<>();
    private final List<InProcessMember> hollow = new ArrayList<>();

    /** Builds the catalogue; nothing runs yet. */
    Testbed(Workload workload, long seed) throws IOException {
        this(workload, seed, false);
    }

    /** With ledgers, if so asked, of what the catalogue tells hollow stewards. */
    Testbed(Workload workload, long seed, boolean keepsLedgers) throws IOException {
        this.workload = workload;
        this.seed = seed;
        this.keepsLedgers = keepsLedgers;
        folder = Files.createTempDirectory("linenring-scale");
        catalogue = new Catalogue(new CatalogueLayout(
                workload.catalogueHosts(), workload.zones(), KINDS, workload.services(), HOSTS_PER_RACK));
        scope = scope(workload);
        driver = new CatalogueDriver(catalogue, hosts, seed);
        hollowCatalogue = new CatalogueServer(catalogue, "catalogue-hollow");
        driver.tells(hollowCatalogue);
    }

    /** The services whose hosts are about as many as the workload's in scope; empty for all. */
    private static List<String> scope(Workload workload) {
        if (workload.hostsInScope() >= workload.catalogueHosts()) {
            return List.of();
        }
        long services = Math.round((double) workload.services() * workload.hostsInScope() / workload.catalogueHosts());
        return IntStream.range(0, (int) Math.max(1, services))
                .mapToObj(CatalogueLayout::serviceName)
                .toList();
    }

    /** Starts the stewards, real ones first; each gets a fleet of the workload's proxies. */
    void open(int realStewards, int hollowStewards) throws Exception { // Jetty's start() may throw any
        hollowCatalogue.open();
        scheduler.start();
        memoryFleets.start();
        driver.start();
        for (int i = 0; i < realStewards; i++) {
            CatalogueServer server = new CatalogueServer(catalogue, "catalogue-real-" + i);
            driver.tells(server);
            real.add(new RealMember("real-" + i, folder, settings(), server, fleet(i)));
        }
        for (RealMember member : real) {
            member.open();
        }
        for (int i = 0; i < hollowStewards; i++) {
            hollow.add(new InProcessMember(
                    "hollow-" + i, assignment(i), scheduler, fleet(realStewards + i), memoryFleets, keepsLedgers));
        }
        for (InProcessMember member : hollow) {
            member.open();
        }
    }

    private MeasuredConfiguration settings() {
        CatalogueLayout layout = catalogue.layout();
        return new MeasuredConfiguration(
                layout.zoneNames(),
                layout.kindNames(),
                OPERATIONS,
                workload.proxies(),
                ChannelLimits.ofFleet(workload.proxies()),
                scope);
    }

    private SimulatedFleet fleet(int number) {
        FleetLayout layout = new FleetLayout(
                workload.proxies(),
                catalogue.layout().zoneNames(),
                OPERATIONS,
                ChannelLimits.ofFleet(workload.proxies()),
                workload.reportsPerSecond(),
                REQUESTS_PER_PROXY);
        return new SimulatedFleet(layout, hosts, new Random(seed + 1 + number));
    }

    private ControllerConfiguration assignment(int number) throws IOException {
        Path file = folder.resolve("hollow-" + number + ".json");
        Files.write(file, settings().json("hollow-" + number, RealMember.nowhere(), hollowCatalogue.address()));
        try {
            return ControllerConfigurationReader.read(Map.of("GW_CONFIG", file.toString()));
        } catch (ConfigurationException failure) {
            throw new IllegalStateException("the configuration that was generated is at fault", failure);
        }
    }

    // ---- what happens

    /** Begins the workload's steady changes. */
    void beginSteadyRates() {
        long now = System.currentTimeMillis();
        driver.script(events -> {
            events.churn(now, workload.changesPerSecond());
            events.replaceSteadily(now, workload.restartsPerSecond());
        });
    }

    void script(Consumer<CatalogueEvents> change) {
        driver.script(change);
    }

    Catalogue catalogue() {
        return catalogue;
    }

    CatalogueDriver driver() {
        return driver;
    }

    List<RealMember> real() {
        return real;
    }

    List<InProcessMember> hollow() {
        return hollow;
    }

    Workload workload() {
        return workload;
    }

    /** The agent of all hollow stewards. */
    CatalogueServer hollowCatalogue() {
        return hollowCatalogue;
    }

    /** All servers of the catalogue. */
    List<CatalogueServer> servers() {
        return Stream.concat(Stream.of(hollowCatalogue), real.stream().map(RealMember::server))
                .toList();
    }

    // ---- what it has come to

    /** The ids of the hosts that are ready and that tables may hold. */
    Set<String> readyInScope() {
        if (scope.isEmpty()) {
            return catalogue.readyIds();
        }
        Set<String> ready = new HashSet<>();
        catalogue
                .hosts(h -> h.isReady() && scope.contains(CatalogueLayout.serviceName(h.service())))
                .forEach(h -> ready.add(h.id()));
        return ready;
    }

    /** Waits until that member's proxies have tables and it holds the present list; null, or what is missing. */
    String awaitSettled(RealMember member, long deadlineNanos) throws InterruptedException {
        while (true) {
            if (!member.process().isAlive()) {
                return member.process().ending();
            }
            String missing = missing(member.fleet().fleet(), member.server().watchersAt(catalogue.version()), 1);
            if (missing == null) {
                return null;
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                return "not settled in time: " + missing + "; "
                        + member.process().ending();
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    /** The same for all hollow members. */
    String awaitHollowSettled(long deadlineNanos) throws InterruptedException {
        while (true) {
            String missing = null;
            for (InProcessMember member : hollow) {
                String own = missing(member.fleet(), hollowCatalogue.watchersAt(catalogue.version()), hollow.size());
                missing = missing == null ? own : missing;
                if (member.steward().failure() != null) {
                    return member.steward().failure();
                }
            }
            if (missing == null) {
                return null;
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                return "not settled in time: " + missing;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private static String missing(SimulatedFleet fleet, int watchers, int due) {
        if (watchers < due) {
            return watchers + " of " + due + " hold the present list";
        }
        long without = fleet.proxies().stream()
                .filter(p -> !p.isUpdated() || !p.hasHosts())
                .count();
        return without == 0 ? null : without + " of " + fleet.proxies().size() + " proxies have no table";
    }

    /** The ids of hosts that are not ready and that a proxy may still send to. */
    Set<String> staleHosts(SimulatedFleet fleet) {
        Set<String> open = new HashSet<>();
        for (SimulatedProxy proxy : fleet.proxies()) {
            for (int operation = 0; operation < OPERATIONS.size(); operation++) {
                open.addAll(proxy.eligibleHosts(operation));
            }
        }
        open.removeAll(readyInScope());
        return open;
    }

    /** How far a fleet agrees with the catalogue. */
    Agreement agreement(SimulatedFleet fleet, boolean whole) {
        return Agreement.of(fleet.proxies(), OPERATIONS.size(), readyInScope(), whole);
    }

    /** Ends all: the real stewards are killed. */
    @Override
    public void close() {
        driver.close();
        real.forEach(RealMember::close);
        hollow.forEach(InProcessMember::close);
        memoryFleets.close();
        hollowCatalogue.close();
        try {
            scheduler.stop();
            deleteFolder();
        } catch (Exception e) { // stop() may throw any; what is left in the temporary folder harms nobody
            return;
        }
    }

    private void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
