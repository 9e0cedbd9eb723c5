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
 * A serving process: a controller with its stream server and its host watch, and a gateway if one is configured. One thread
 * builds and starts the process and then runs the control loop.
 */
final class ControllerProcess {
    /** Maximum size of the thread pool: two selectors, the threads that assist them, and some spare threads. */
    private static final int MAX_THREADS = 8;

    private static final int MIN_THREADS = 2;
    private static final String LOG_SUBJECT = "controller";

    private final ControllerConfiguration configuration; // the host list is removed, so that its memory can be freed
    private final ReloadSignals reloadSignals;
    private final Log log;
    private final EventQueue eventQueue = new EventQueue();
    private final HostRegistry hosts = new HostRegistry();
    private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
    private final Codec codec;
    private final Optional<GatewayLifecycle> gateway;
    private Optional<HostList> knownHosts; // empty after takeKnownHosts(), so that the memory of the list can be freed
    private ControlLoop controlLoop; // set by startController()
    private StreamServer streams; // set by openStreams(), then used by the upgrade thread

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
        gateway = gatewaySettings.map(settings -> new GatewayLifecycle(
                settings, configuration.plannerSettings().admissionUnit(), hosts, eventQueue, log));
    }

    /** Whether the gateway's settings allow the process to be upgraded under load. */
    boolean isUpgradable() {
        return gateway.map(lifecycle -> lifecycle.settings().handover() != null).orElse(false);
    }

    /** Starts the process and serves; returns the exit code if the start fails or when the control loop ends. */
    int serve() {
        Optional<ProcessHandover> handover = isUpgradable() ? Optional.of(createHandover()) : Optional.empty();
        try {
            startController(takeKnownHosts());
            openStreams();
        } catch (ListenException failure) {
            ProgramOutput.printError(
                    "cannot listen at " + address() + "; last completed step and cause: " + failure.failureSummary());
            return ExitCode.CANNOT_START;
        } catch (Exception failure) { // Jetty's start() declares Exception
            ProgramOutput.printError("cannot start: " + failure);
            return ExitCode.CANNOT_START;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> log.info(LOG_SUBJECT, "shutting down")));
        logServing();
        // the gateway starts on its own thread: the first decisions of the control loop must not wait for it
        gateway.ifPresent(lifecycle -> new Thread(() -> startGateway(lifecycle, handover), "gateway-start").start());
        runControlLoop();
        return ExitCode.SUCCESS;
    }

    private static void startGateway(GatewayLifecycle gateway, Optional<ProcessHandover> handover) {
        try {
            gateway.start(null);
        } catch (StartException failure) {
            System.exit(failure.report());
        }
        // the SIGTERM handler is installed before the first request: until then SIGTERM ends the process at once,
        // which interrupts no request
        gateway.handleTermination(() -> handover.ifPresent(ProcessHandover::shutdownRequested));
        gateway.accept();
        handover.ifPresent(ProcessHandover::open);
    }

    /** Takes over from the process that listens at this socket; returns the exit code if the handover is aborted. */
    int takeOver(Path socket) {
        return createHandover().takeOver(socket);
    }

    private ProcessHandover createHandover() {
        return new ProcessHandover(this, gateway.orElseThrow(), eventQueue, knownHosts, log);
    }

    ControllerConfiguration configuration() {
        return configuration;
    }

    /** Returns the host list of the configuration at the first call, and empty afterwards. */
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

    /** Creates the control loop with this initial host list, without running it, and opens the watch of discovery. */
    void startController(Optional<HostList> initialHosts) throws Exception {
        configuration.knownHostsFault().ifPresent(fault -> log.warn("invalid", fault));
        controlLoop = new ControlLoop(
                configuration.plannerSettings(), configuration.names(), initialHosts.orElse(null), eventQueue, log);
        if (gateway.isPresent()) { // the gateway must know every host before the controller sends a decision about it
            initialHosts.ifPresent(hosts::apply);
            eventQueue.addHostListListener(hosts::apply);
        }
        threads.setDaemon(true);
        threads.start();
        scheduler.start();
        WatchConfig config = new WatchConfig(
                configuration.discovery(),
                configuration.scope(),
                initialHosts.orElse(null),
                this::exitForExceededMemory);
        HostWatch watch = new HostWatch(config, codec, eventQueue, log, threads, scheduler);
        watch.open();
        reloadSignals.setReloadAction( // reloads are enabled before the first PONG
                () -> ControllerLauncher.reload(
                        configuration, () -> ControllerConfigurationReader.readForReload(System.getenv()), watch, log),
                log);
    }

    /** Ends the process because the host list does not fit the memory and no earlier list can be used instead. */
    private void exitForExceededMemory(String reason) {
        log.error(LOG_SUBJECT, "exiting because " + reason);
        // a new thread calls exit, since the shutdown may wait for the selector's thread
        new Thread(() -> System.exit(ExitCode.EXCEEDS_MEMORY), "capacity-exceeded").start();
    }

    /** Runs the control loop on the calling thread until the thread is interrupted. */
    void runControlLoop() {
        controlLoop.run();
    }

    /** Starts or resumes listening for proxies and collectors. */
    void openStreams() throws ListenException {
        streams = StreamServer.open(
                configuration.listen(), configuration.maxSockets(), codec, eventQueue, log, threads, scheduler);
    }

    void closeStreams() {
        streams.close();
    }
}
