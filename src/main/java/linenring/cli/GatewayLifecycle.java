package linenring.cli;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import linenring.event.EventQueue;
import linenring.gateway.GatewayStartException;
import linenring.gateway.Http2Gateway;
import linenring.gateway.ListenOptions;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.planner.PlannerSettings;
import linenring.routing.HostRegistry;

/** Starts the gateway of a process and shuts it down gracefully at SIGTERM. */
final class GatewayLifecycle {
    /** Time limit for the first table; a controller with a host list sends a table within some ms of a subscription. */
    private static final long MAX_TABLE_WAIT_MS = 2000;

    private static final long TABLE_POLL_MS = 10;
    private static final String LOG_SUBJECT = "gateway";

    private final GatewaySettings settings;
    private final PlannerSettings.AdmissionUnit measure;
    private final HostRegistry hosts;
    private final EventQueue eventQueue;
    private final Log log;
    private final Shutdown shutdown = new Shutdown();
    private volatile Http2Gateway gateway; // set once, by start()

    GatewayLifecycle(
            GatewaySettings settings,
            PlannerSettings.AdmissionUnit measure,
            HostRegistry hosts,
            EventQueue eventQueue,
            Log log) {
        this.settings = settings;
        this.measure = measure;
        this.hosts = hosts;
        this.eventQueue = eventQueue;
        this.log = log;
    }

    GatewaySettings settings() {
        return settings;
    }

    /**
     * Starts the gateway without accepting connections.
     *
     * @param inherited the listening socket that another process has handed over, or null to open a new one
     */
    void start(ServerSocketChannel inherited) throws StartException {
        try {
            gateway =
                    Http2Gateway.start(settings, measure, hosts, eventQueue, new ListenOptions(inherited, false), log);
        } catch (GatewayStartException failure) {
            String address = settings.listen().getAddress().getHostAddress() + ":"
                    + settings.listen().getPort();
            String message = "the gateway cannot listen at " + address + ": " + failure.getMessage();
            throw new StartException(ExitCode.CANNOT_START, message, failure);
        }
    }

    /** Waits until the gateway has an endpoint table, for at most {@link #MAX_TABLE_WAIT_MS}. */
    void awaitTables() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_TABLE_WAIT_MS);
        while (!gateway.hasTables() && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(TABLE_POLL_MS);
        }
    }

    /**
     * Installs the SIGTERM handler: the first signal drains the gateway and then ends the process, later signals are
     * ignored.
     */
    void handleTermination(Runnable onShutdown) {
        ProcessSignals.handle(ProcessSignals.TERMINATE, () -> {
            boolean isFirst = shutdown.begin(() -> {
                onShutdown.run();
                gateway.drain();
                endWhenDrained();
            });
            if (!isFirst) {
                log.info(LOG_SUBJECT, "ignoring another SIGTERM because the gateway is already draining");
            }
        });
    }

    /** Starts or resumes accepting connections, unless a SIGTERM has begun the drain. */
    void accept() {
        shutdown.runUnlessBegun(gateway::startAccepting);
    }

    void stopAccepting() {
        gateway.stopAccepting();
    }

    void drain() {
        gateway.drain();
    }

    ServerSocketChannel listener() {
        return gateway.listeningSocket();
    }

    /** Ends the process once no request is in progress, on a new thread. */
    void endWhenDrained() {
        new Thread(this::awaitDrainedAndEnd, "drain").start();
    }

    private void awaitDrainedAndEnd() {
        try {
            gateway.awaitDrained();
        } catch (InterruptedException interrupted) {
            // an interrupted drain also ends the process
        }
        log.info(LOG_SUBJECT, gateway.totals());
        System.exit(ExitCode.SUCCESS);
    }
}
