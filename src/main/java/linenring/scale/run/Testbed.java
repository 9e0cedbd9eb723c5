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

/** A catalogue with its real and simulated controllers and their fleets, on loopback, for one workload. */
final class Testbed implements AutoCloseable {
    /** The operations, each of which all hosts run. */
    static final List<String> OPERATIONS = List.of("lookup", "order", "report");

    private static final int KINDS = 2;
    private static final int HOSTS_PER_RACK = 40;
    private static final double REQUESTS_PER_SECOND = 20; // to each proxy
    private static final long POLL_MS = 50;

    private final Workload workload;
    private final long seed;
    private final boolean keepsLedgers;
    private final Path directory;
    private final Catalogue catalogue;
    private final List<String> scope;
    private final HostRegistry hosts = new HostRegistry();
    private final CatalogueDriver driver;
    private final CatalogueServer simulatedCatalogue;
    private final InProcessFleets inProcessFleets = new InProcessFleets();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("simulated-timer", true);
    private final List<RealMember> real = new ArrayList<>();
    private final List<InProcessMember> simulated = new ArrayList<>();

    /** Builds the catalogue; nothing runs yet. */
    Testbed(Workload workload, long seed) throws IOException {
        this(workload, seed, false);
    }

    /** {@code keepsLedgers}: whether simulated controllers record the lists they receive. */
    Testbed(Workload workload, long seed, boolean keepsLedgers) throws IOException {
        this.workload = workload;
        this.seed = seed;
        this.keepsLedgers = keepsLedgers;
        directory = Files.createTempDirectory("linenring-scale");
        catalogue = new Catalogue(new CatalogueLayout(
                workload.catalogueHosts(), workload.zones(), KINDS, workload.services(), HOSTS_PER_RACK));
        scope = scope(workload);
        driver = new CatalogueDriver(catalogue, hosts, seed);
        simulatedCatalogue = new CatalogueServer(catalogue, "catalogue-simulated");
        driver.publishTo(simulatedCatalogue);
    }

    /** The services that have about as many hosts as the workload has in scope; empty for all. */
    private static List<String> scope(Workload workload) {
        if (workload.hostsInScope() >= workload.catalogueHosts()) {
            return List.of();
        }
        long services = Math.round((double) workload.services() * workload.hostsInScope() / workload.catalogueHosts());
        return IntStream.range(0, (int) Math.max(1, services))
                .mapToObj(CatalogueLayout::serviceName)
                .toList();
    }

    /** Starts the controllers, real ones first; each gets a fleet of the workload's proxies. */
    void open(int realControllers, int simulatedControllers) throws Exception { // Jetty's start() may throw any
        simulatedCatalogue.open();
        scheduler.start();
        inProcessFleets.start();
        driver.start();
        for (int i = 0; i < realControllers; i++) {
            CatalogueServer server = new CatalogueServer(catalogue, "catalogue-real-" + i);
            driver.publishTo(server);
            real.add(new RealMember("real-" + i, directory, measuredConfiguration(), server, fleet(i)));
        }
        for (RealMember member : real) {
            member.open();
        }
        for (int i = 0; i < simulatedControllers; i++) {
            simulated.add(new InProcessMember(
                    "simulated-" + i,
                    configuration(i),
                    scheduler,
                    fleet(realControllers + i),
                    inProcessFleets,
                    keepsLedgers));
        }
        for (InProcessMember member : simulated) {
            member.open();
        }
    }

    private MeasuredConfiguration measuredConfiguration() {
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
                REQUESTS_PER_SECOND);
        return new SimulatedFleet(layout, hosts, new Random(seed + 1 + number));
    }

    private ControllerConfiguration configuration(int number) throws IOException {
        Path file = directory.resolve("simulated-" + number + ".json");
        Files.write(
                file,
                measuredConfiguration()
                        .json("simulated-" + number, RealMember.unusedAddress(), simulatedCatalogue.address()));
        try {
            return ControllerConfigurationReader.read(Map.of("GW_CONFIG", file.toString()));
        } catch (ConfigurationException failure) {
            throw new IllegalStateException("the generated configuration is invalid", failure);
        }
    }

    // ---- events

    /** Starts the workload's steady changes. */
    void startSteadyRates() {
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

    List<InProcessMember> simulated() {
        return simulated;
    }

    Workload workload() {
        return workload;
    }

    /** The discovery agent of all simulated controllers. */
    CatalogueServer simulatedCatalogue() {
        return simulatedCatalogue;
    }

    /** All servers of the catalogue. */
    List<CatalogueServer> servers() {
        return Stream.concat(Stream.of(simulatedCatalogue), real.stream().map(RealMember::server))
                .toList();
    }

    // ---- state

    /** The ids of the hosts that are ready and that tables may hold. */
    Set<String> readyInScope() {
        if (scope.isEmpty()) {
            return catalogue.readyIds();
        }
        Set<String> ready = new HashSet<>();
        catalogue
                .hosts(host -> host.isReady() && scope.contains(CatalogueLayout.serviceName(host.service())))
                .forEach(host -> ready.add(host.id()));
        return ready;
    }

    /** Waits until that member's proxies have tables and it holds the current list; null, or what is missing. */
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

    /** The same for all simulated members. */
    String awaitSimulatedSettled(long deadlineNanos) throws InterruptedException {
        while (true) {
            String missing = null;
            for (InProcessMember member : simulated) {
                String ownMissing =
                        missing(member.fleet(), simulatedCatalogue.watchersAt(catalogue.version()), simulated.size());
                missing = missing == null ? ownMissing : missing;
                if (member.controller().failure() != null) {
                    return member.controller().failure();
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

    private static String missing(SimulatedFleet fleet, int watchers, int expectedWatchers) {
        if (watchers < expectedWatchers) {
            return watchers + " of " + expectedWatchers + " hold the current list";
        }
        long without = fleet.proxies().stream()
                .filter(proxy -> !proxy.isUpdated() || !proxy.hasHosts())
                .count();
        return without == 0 ? null : without + " of " + fleet.proxies().size() + " proxies have no table";
    }

    /** The ids of hosts that are not ready and that a proxy may still send to. */
    Set<String> staleHosts(SimulatedFleet fleet) {
        Set<String> eligible = new HashSet<>();
        for (SimulatedProxy proxy : fleet.proxies()) {
            for (int operation = 0; operation < OPERATIONS.size(); operation++) {
                eligible.addAll(proxy.eligibleHosts(operation));
            }
        }
        eligible.removeAll(readyInScope());
        return eligible;
    }

    /** How far a fleet agrees with the catalogue; {@code completeTables}: each table must have all ready hosts. */
    Agreement agreement(SimulatedFleet fleet, boolean completeTables) {
        return Agreement.of(fleet.proxies(), OPERATIONS.size(), readyInScope(), completeTables);
    }

    /** Ends everything; real controllers are killed. */
    @Override
    public void close() {
        driver.close();
        real.forEach(RealMember::close);
        simulated.forEach(InProcessMember::close);
        inProcessFleets.close();
        simulatedCatalogue.close();
        try {
            scheduler.stop();
            deleteDirectory();
        } catch (Exception ignored) { // stop() may throw any; what is left in the temporary directory does no harm
            return;
        }
    }

    private void deleteDirectory() throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
