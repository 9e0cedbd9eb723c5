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

/** Runs a catalogue, real and simulated controllers and their fleets on loopback, for one workload. */
final class Testbed implements AutoCloseable {
    /** The names of all operations; every host runs each of them. */
    static final List<String> OPERATIONS = List.of("lookup", "order", "report");

    private static final int KINDS = 2;
    private static final int HOSTS_PER_RACK = 40;
    private static final double REQUESTS_PER_SECOND = 20; // simulated requests to each proxy
    private static final long POLL_MS = 50;

    private final Workload workload;
    private final long seed;
    private final boolean keepsLedgers;
    private final Path directory;
    private final Catalogue catalogue;
    private final List<String> scopedServices;
    private final HostRegistry hostRegistry = new HostRegistry();
    private final CatalogueDriver driver;
    private final CatalogueServer simulatedCatalogue;
    private final InProcessFleets inProcessFleets = new InProcessFleets();
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("simulated-timer", true);
    private final List<RealControllerWithFleet> realControllers = new ArrayList<>();
    private final List<SimulatedControllerWithFleet> simulatedControllers = new ArrayList<>();

    /** Creates the catalogue; {@link #open} starts the controllers and fleets. */
    Testbed(Workload workload, long seed) throws IOException {
        this(workload, seed, false);
    }

    /** Creates the catalogue; if {@code keepsLedgers}, simulated controllers record the host lists that they receive. */
    Testbed(Workload workload, long seed, boolean keepsLedgers) throws IOException {
        this.workload = workload;
        this.seed = seed;
        this.keepsLedgers = keepsLedgers;
        directory = Files.createTempDirectory("linenring-scale");
        catalogue = new Catalogue(new CatalogueLayout(
                workload.catalogueHosts(), workload.zones(), KINDS, workload.services(), HOSTS_PER_RACK));
        scopedServices = scopedServices(workload);
        driver = new CatalogueDriver(catalogue, hostRegistry, seed);
        simulatedCatalogue = new CatalogueServer(catalogue, "catalogue-simulated");
        driver.addServer(simulatedCatalogue);
    }

    /**
     * Returns services that together have about as many hosts as the workload has in scope; empty if all hosts are in scope.
     */
    private static List<String> scopedServices(Workload workload) {
        if (workload.hostsInScope() >= workload.catalogueHosts()) {
            return List.of();
        }
        long services = Math.round((double) workload.services() * workload.hostsInScope() / workload.catalogueHosts());
        return IntStream.range(0, (int) Math.max(1, services))
                .mapToObj(CatalogueLayout::serviceName)
                .toList();
    }

    /**
     * Starts the real controllers, then the simulated controllers, each with its own fleet of the workload's number of
     * proxies.
     */
    void open(int realCount, int simulatedCount) throws Exception { // Jetty's start() declares Exception
        simulatedCatalogue.open();
        scheduler.start();
        inProcessFleets.start();
        driver.start();
        for (int i = 0; i < realCount; i++) {
            CatalogueServer server = new CatalogueServer(catalogue, "catalogue-real-" + i);
            driver.addServer(server);
            realControllers.add(new RealControllerWithFleet(
                    "real-" + i, directory, measuredConfiguration(), server, createFleet(i)));
        }
        for (RealControllerWithFleet member : realControllers) {
            member.open();
        }
        for (int i = 0; i < simulatedCount; i++) {
            simulatedControllers.add(new SimulatedControllerWithFleet(
                    "simulated-" + i,
                    simulatedConfiguration(i),
                    scheduler,
                    createFleet(realCount + i),
                    inProcessFleets,
                    keepsLedgers));
        }
        for (SimulatedControllerWithFleet member : simulatedControllers) {
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
                scopedServices);
    }

    private SimulatedFleet createFleet(int controllerIndex) {
        FleetLayout layout = new FleetLayout(
                workload.proxies(),
                catalogue.layout().zoneNames(),
                OPERATIONS,
                ChannelLimits.ofFleet(workload.proxies()),
                workload.reportsPerSecond(),
                REQUESTS_PER_SECOND);
        return new SimulatedFleet(layout, hostRegistry, new Random(seed + 1 + controllerIndex));
    }

    private ControllerConfiguration simulatedConfiguration(int controllerIndex) throws IOException {
        Path file = directory.resolve("simulated-" + controllerIndex + ".json");
        Files.write(
                file,
                measuredConfiguration()
                        .json(
                                "simulated-" + controllerIndex,
                                RealControllerWithFleet.unusedAddress(),
                                simulatedCatalogue.address()));
        try {
            return ControllerConfigurationReader.read(Map.of("GW_CONFIG", file.toString()));
        } catch (ConfigurationException failure) {
            throw new IllegalStateException("the generated configuration is invalid", failure);
        }
    }

    /** Starts the workload's steady catalogue changes and host restarts. */
    void startSteadyRates() {
        long now = System.currentTimeMillis();
        driver.schedule(events -> {
            events.churn(now, workload.changesPerSecond());
            events.replaceSteadily(now, workload.restartsPerSecond());
        });
    }

    void scheduleEvents(Consumer<CatalogueEvents> scheduling) {
        driver.schedule(scheduling);
    }

    Catalogue catalogue() {
        return catalogue;
    }

    CatalogueDriver driver() {
        return driver;
    }

    List<RealControllerWithFleet> realControllers() {
        return realControllers;
    }

    List<SimulatedControllerWithFleet> simulatedControllers() {
        return simulatedControllers;
    }

    Workload workload() {
        return workload;
    }

    /** Returns the discovery agent of all simulated controllers. */
    CatalogueServer simulatedCatalogue() {
        return simulatedCatalogue;
    }

    /** Returns the discovery agents of all controllers, simulated and real. */
    List<CatalogueServer> servers() {
        return Stream.concat(
                        Stream.of(simulatedCatalogue), realControllers.stream().map(RealControllerWithFleet::server))
                .toList();
    }

    /** Returns the ids of the ready hosts that are in scope. */
    Set<String> readyInScope() {
        if (scopedServices.isEmpty()) {
            return catalogue.readyIds();
        }
        Set<String> readyIds = new HashSet<>();
        catalogue
                .hosts(host -> host.isReady() && scopedServices.contains(CatalogueLayout.serviceName(host.service())))
                .forEach(host -> readyIds.add(host.id()));
        return readyIds;
    }

    /**
     * Waits until a real controller holds the current host list and its proxies have tables; returns null, or why it has not
     * settled.
     */
    String awaitSettled(RealControllerWithFleet member, long deadlineNanos) throws InterruptedException {
        while (true) {
            if (!member.process().isAlive()) {
                return member.process().exitDescription();
            }
            String reason =
                    unsettledReason(member.fleet().fleet(), member.server().watchersAt(catalogue.version()), 1);
            if (reason == null) {
                return null;
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                return "not settled in time: " + reason + "; "
                        + member.process().exitDescription();
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    /**
     * Waits until all simulated controllers hold the current host list and their proxies have tables; returns null, or why
     * not.
     */
    String awaitSimulatedSettled(long deadlineNanos) throws InterruptedException {
        while (true) {
            String reason = null;
            for (SimulatedControllerWithFleet member : simulatedControllers) {
                String memberReason = unsettledReason(
                        member.fleet(),
                        simulatedCatalogue.watchersAt(catalogue.version()),
                        simulatedControllers.size());
                reason = reason == null ? memberReason : reason;
                if (member.controller().failure() != null) {
                    return member.controller().failure();
                }
            }
            if (reason == null) {
                return null;
            }
            if (System.nanoTime() - deadlineNanos > 0) {
                return "not settled in time: " + reason;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private static String unsettledReason(SimulatedFleet fleet, int watchers, int expectedWatchers) {
        if (watchers < expectedWatchers) {
            return watchers + " of " + expectedWatchers + " controllers hold the current host list";
        }
        long proxiesWithoutTable = fleet.proxies().stream()
                .filter(proxy -> !proxy.isUpdated() || !proxy.hasHosts())
                .count();
        return proxiesWithoutTable == 0
                ? null
                : proxiesWithoutTable + " of " + fleet.proxies().size() + " proxies have no table";
    }

    /** Returns the ids of hosts that are not ready but eligible for requests in the table of at least one proxy. */
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

    /** Compares a fleet's tables with the catalogue; if {@code completeTables}, each table must hold all ready hosts. */
    TableConsistency compareTables(SimulatedFleet fleet, boolean completeTables) {
        return TableConsistency.compare(fleet.proxies(), OPERATIONS.size(), readyInScope(), completeTables);
    }

    /** Stops all controllers and fleets; real controllers are killed. */
    @Override
    public void close() {
        driver.close();
        realControllers.forEach(RealControllerWithFleet::close);
        simulatedControllers.forEach(SimulatedControllerWithFleet::close);
        inProcessFleets.close();
        simulatedCatalogue.close();
        try {
            scheduler.stop();
            deleteDirectory();
        } catch (Exception ignored) { // files that remain in the temporary directory are harmless
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
