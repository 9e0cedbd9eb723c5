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

/** The gateway of a process, from its start to its graceful shutdown at SIGTERM. */
final class GatewayLifecycle {
    /** A controller that has a host list sends updates within some ms of a subscription. */
    private static final long MAX_TABLE_WAIT_MS = 2000;

    private static final long TABLE_POLL_MS = 10;
    private static final String LOG_SUBJECT = "gateway";

    private final GatewaySettings settings;
    private final PlannerSettings.Measure measure;
    private final HostRegistry hosts;
    private final EventQueue eventQueue;
    private final Log log;
    private final Shutdown shutdown = new Shutdown();
    private volatile Http2Gateway gateway; // set once, by start()

    GatewayLifecycle(
            GatewaySettings settings,
            PlannerSettings.Measure measure,
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

    /** Starts it without accepting; {@code inherited} is a listener that another process has handed over, or null. */
    void start(ServerSocketChannel inherited) throws StartException {
        try {
            gateway =
                    Http2Gateway.start(settings, measure, hosts, eventQueue, new ListenOptions(inherited, false), log);
        } catch (GatewayStartException failure) {
            String address = settings.listen().getAddress().getHostAddress() + ":"
                    + settings.listen().getPort();
            String line = "the gateway cannot listen at " + address + ": " + failure.getMessage();
            throw new StartException(ExitCode.CANNOT_START, line, failure);
        }
    }

    /** Waits until it has a table to pick from, or for two seconds. */
    void awaitTables() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_TABLE_WAIT_MS);
        while (!gateway.hasTables() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(TABLE_POLL_MS);
        }
    }

    /** From here on it drains at the first SIGTERM, and the process ends once it has; further ones change nothing. */
    void handleTermination(Runnable onShutdown) {
        ProcessSignals.handle(ProcessSignals.TERMINATE, () -> {
            boolean isFirst = shutdown.begin(() -> {
                onShutdown.run();
                gateway.drain();
                endWhenDrained();
            });
            if (!isFirst) {
                log.info(LOG_SUBJECT, "drains still, at one more SIGTERM");
            }
        });
    }

    /** Accepts, again or for the first time, unless it drains at a SIGTERM. */
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

    /** Ends the process once no request runs. */
    void endWhenDrained() {
        new Thread(this::awaitDrainedAndEnd, "drain").start();
    }

    private void awaitDrainedAndEnd() {
        try {
            gateway.awaitDrained();
        } catch (InterruptedException interrupted) {
            // the process ends all the same
        }
        log.info(LOG_SUBJECT, gateway.totals());
        System.exit(ExitCode.SUCCESS);
    }
}
