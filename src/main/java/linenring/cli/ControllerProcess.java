package linenring.cli;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import linenring.configuration.ControllerConfiguration;
import linenring.configuration.ControllerConfigurationReader;
import linenring.controller.ControlLoop;
import linenring.discovery.HostWatch;
import linenring.discovery.WatchConfig;
import linenring.event.EventQueue;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.routing.HostRegistry;
import linenring.stream.ListenException;
import linenring.stream.StreamServer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * One process that serves: a controller with its streams and its watch, and a gateway beside it where one is configured. Built
 * and started by one thread, which then runs the control loop.
 */
final class ControllerProcess {
    /** Two selectors, their helpers and some to spare. */
    private static final int MAX_THREADS = 8;

    private static final int MIN_THREADS = 2;
    private static final String LOG_SUBJECT = "controller";

    private final ControllerConfiguration configuration; // without its host list
    private final ReloadSignals reloadSignals;
    private final Log log;
    private final EventQueue eventQueue = new EventQueue();
    private final HostRegistry hosts = new HostRegistry();
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
    private final Codec codec;
    private final Optional<GatewayLifecycle> gateway;
    private Optional<HostList> knownHosts; // empty once it is taken: its memory goes with it
    private ControlLoop controlLoop; // set by startController()
    private StreamServer streams; // set by openStreams(); touched by the upgrades' thread from then on

    ControllerProcess(
            ControllerConfiguration configuration,
            Optional<GatewaySettings> gatewaySettings,
            ReloadSignals reloadSignals,
            Log log) {
        this.configuration = configuration.withKnownHosts(Optional.empty(), configuration.knownHostsFault());
        knownHosts = configuration.knownHosts();
        this.reloadSignals = reloadSignals;
        this.log = log;
        codec = new Codec(configuration.names());
        gateway = gatewaySettings.map(settings ->
                new GatewayLifecycle(settings, configuration.plannerSettings().measure(), hosts, eventQueue, log));
    }

    /** Whether its settings allow upgrades under load. */
    boolean isUpgradable() {
        return gateway.map(lifecycle -> lifecycle.settings().handover() != null).orElse(false);
    }

    /** Serves from the start; returns the exit code, where it cannot or once it ends. */
    int serve() {
        Optional<ProcessHandover> handover = isUpgradable() ? Optional.of(handover()) : Optional.empty();
        try {
            startController(takeKnownHosts());
            openStreams();
        } catch (ListenException failure) {
            ProgramOutput.error("cannot listen at " + address() + ", though " + failure.fault());
            return ExitCode.CANNOT_START;
        } catch (Exception failure) { // Jetty's start() declares any
            ProgramOutput.error("cannot start: " + failure);
            return ExitCode.CANNOT_START;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> log.info(LOG_SUBJECT, "shuts down")));
        logServing();
        // beside the control loop, whose first decisions must not wait for the gateway
        gateway.ifPresent(lifecycle -> new Thread(() -> serveGateway(lifecycle, handover), "gateway-start").start());
        runControlLoop();
        return ExitCode.SUCCESS;
    }

    private static void serveGateway(GatewayLifecycle gateway, Optional<ProcessHandover> handover) {
        try {
            gateway.start(null);
        } catch (StartException failure) {
            System.exit(failure.report());
        }
        // before the first request: until then SIGTERM ends the process at once, and interrupts none
        gateway.handleTermination(() -> handover.ifPresent(ProcessHandover::shutdownRequested));
        gateway.accept();
        handover.ifPresent(ProcessHandover::open);
    }

    /** Takes over from the process at this socket; returns the exit code where it does not come about. */
    int takeOver(Path socket) {
        return handover().takeOver(socket);
    }

    private ProcessHandover handover() {
        return new ProcessHandover(this, gateway.orElseThrow(), eventQueue, knownHosts, log);
    }

    ControllerConfiguration configuration() {
        return configuration;
    }

    /** The host list of the configuration; it is given away once. */
    Optional<HostList> takeKnownHosts() {
        Optional<HostList> taken = knownHosts;
        knownHosts = Optional.empty();
        return taken;
    }

    private void logServing() {
        log.info(
                LOG_SUBJECT,
                configuration.name() + " serves proxies at " + address() + ", "
                        + ManagementFactory.getRuntimeMXBean().getUptime() + " ms after the process start");
    }

    private String address() {
        InetSocketAddress listen = configuration.listen();
        return listen.getAddress().getHostAddress() + ":" + listen.getPort();
    }

    /** The control loop, which is not run yet, with this host list, and its watch. */
    void startController(Optional<HostList> known) throws Exception {
        configuration.knownHostsFault().ifPresent(fault -> log.warn("invalid", fault));
        controlLoop = new ControlLoop(
                configuration.plannerSettings(), configuration.names(), known.orElse(null), eventQueue, log);
        if (gateway.isPresent()) { // it must know every host before the controller decides by it
            known.ifPresent(hosts::apply);
            eventQueue.addHostListListener(hosts::apply);
        }
        threads.setDaemon(true);
        threads.start();
        scheduler.start();
        WatchConfig config = new WatchConfig(
                configuration.discovery(), configuration.scope(), known.orElse(null), this::endForCapacity);
        HostWatch watch = new HostWatch(config, codec, eventQueue, log, threads, scheduler);
        watch.open();
        reloadSignals.onEach( // before the first PONG
                () -> ControllerLauncher.reload(
                        configuration, () -> ControllerConfigurationReader.readAgain(System.getenv()), watch, log),
                log);
    }

    /** The host list does not fit the memory, and there is none to go on with. */
    private void endForCapacity(String reason) {
        log.error(LOG_SUBJECT, "ends: " + reason);
        // not on the selector's thread, which the end may wait for
        new Thread(() -> System.exit(ExitCode.EXCEEDS_MEMORY), "capacity-exceeded").start();
    }

    /** Runs on the calling thread until it is interrupted. */
    void runControlLoop() {
        controlLoop.run();
    }

    /** Listens for proxies and collectors, again or for the first time. */
    void openStreams() throws ListenException {
        streams = StreamServer.open(
                configuration.listen(), configuration.maxSockets(), codec, eventQueue, log, threads, scheduler);
    }

    void closeStreams() {
        streams.close();
    }
}
