package linenring.cli;

import java.lang.management.ManagementFactory;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import linenring.configuration.ControllerConfiguration;
import linenring.configuration.ControllerConfigurationReader;
import linenring.controller.ControlLoop;
import linenring.discovery.HostWatch;
import linenring.discovery.WatchConfig;
import linenring.event.EventQueue;
import linenring.gateway.GatewayStartException;
import linenring.gateway.Http2Gateway;
import linenring.gateway.ListenOptions;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.protocol.Codec;
import linenring.protocol.HostList;
import linenring.routing.HostRegistry;
import linenring.stream.ListenException;
import linenring.stream.StreamServer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** One process that serves: a steward with its streams and its watch, and a front beside it where one is asked for. */
final class Instance {
    private static final int THREADS = 8; // two selectors, their helpers and some to spare
    private static final long TABLES_MS = 2000; // a steward that knows a list orders within some ms of a joining

    final ControllerConfiguration told;
    final GatewaySettings plan;
    final Log log;
    private final ReloadSignals hangUps;
    private HostList known; // null once it is begun with: its memory goes with it
    private final EventQueue exchange = new EventQueue();
    private final HostRegistry hosts = new HostRegistry();
    private final QueuedThreadPool threads = new QueuedThreadPool(THREADS, 2);
    private final ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
    private final Codec codec;
    private ControlLoop steward;
    private StreamServer streams;
    private volatile Http2Gateway front;
    private final Shutdown ending = new Shutdown();

    Instance(ControllerConfiguration told, GatewaySettings plan, ReloadSignals hangUps, Log log) {
        this.told = told.withKnownHosts(Optional.empty(), told.knownHostsFault());
        known = told.knownHosts().orElse(null);
        this.plan = plan;
        this.hangUps = hangUps;
        this.log = log;
        codec = new Codec(told.names());
    }

    /** Serves from the start; returns the exit code where it can't. */
    int serve() {
        Handover handover = plan != null && plan.handover() != null ? new Handover(this, exchange, known) : null;
        try {
            begin(takeKnown());
            openStreams();
        } catch (ListenException e) {
            System.err.println("linenring: cannot listen at " + at() + ", though " + e.fault());
            return ServeCommand.CANNOT_START;
        } catch (Exception e) { // Jetty's start() may throw any
            System.err.println("linenring: cannot start: " + e);
            return ServeCommand.CANNOT_START;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> log.info("steward", "is told to end")));
        saysServes();
        if (plan != null) { // beside the steward, whose first decisions must not wait for it
            new Thread(
                            () -> {
                                String fault = openFront(null, false);
                                if (fault != null) {
                                    System.err.println("linenring: " + fault);
                                    System.exit(ServeCommand.CANNOT_START);
                                }
                                onTerm(handover); // before the first invocation: till then SIGTERM ends the process,
                                // and breaks off none
                                accept();
                                if (handover != null) {
                                    handover.open();
                                }
                            },
                            "front-start")
                    .start();
        }
        steward.run();
        return 0;
    }

    /** Takes over from the process at this socket; returns the exit code where nothing came of it. */
    int takeOver(Path socket) {
        return new Handover(this, exchange, known).takeOver(socket);
    }

    /** The list that the configuration knows, or null; it is given away once. */
    HostList takeKnown() {
        HostList taken = known;
        known = null;
        return taken;
    }

    void saysServes() {
        log.info(
                "steward",
                told.name() + " serves at " + at() + ", "
                        + ManagementFactory.getRuntimeMXBean().getUptime() + " ms after its start");
    }

    private String at() {
        return told.listen().getAddress().getHostAddress() + ":" + told.listen().getPort();
    }

    /** The steward with this list, or null, and its watch. */
    void begin(HostList known) throws Exception {
        told.knownHostsFault().ifPresent(fault -> log.warn("invalid", fault));
        steward = new ControlLoop(told.plannerSettings(), told.names(), known, exchange, log);
        if (plan != null) { // the front has all that the steward decides by, before the steward does
            if (known != null) {
                hosts.apply(known);
            }
            exchange.addHostListListener(hosts::apply);
        }
        threads.setDaemon(true);
        threads.start();
        scheduler.start();
        WatchConfig config = new WatchConfig(told.discovery(), told.scope(), known, this::endsForCapacity);
        HostWatch watch = new HostWatch(config, codec, exchange, log, threads, scheduler);
        watch.open();
        hangUps.then(
                () -> ServeCommand.reload(
                        told, () -> ControllerConfigurationReader.readAgain(System.getenv()), watch, log),
                log); // before the first PONG
    }

    /** The list of hosts has no room, and there is none to go on with. */
    private void endsForCapacity(String why) {
        log.error("steward", "ends: " + why);
        new Thread(() -> System.exit(ServeCommand.EXCEEDS_MEMORY), "capacity-exceeded")
                .start(); // not on the selector, which the end may wait for
    }

    void decide() {
        steward.run();
    }

    /** Listens for proxies and collectors, again or for the first time. */
    void openStreams() throws ListenException {
        streams = StreamServer.open(told.listen(), told.maxSockets(), codec, exchange, log, threads, scheduler);
    }

    void closeStreams() {
        streams.close();
    }

    /** Null, or why not. */
    String openFront(ServerSocketChannel listener, boolean accepts) {
        try {
            front = Http2Gateway.start(
                    plan, told.plannerSettings().measure(), hosts, exchange, new ListenOptions(listener, accepts), log);
            return null;
        } catch (GatewayStartException e) {
            return "the front cannot listen at " + plan.listen().getAddress().getHostAddress() + ":"
                    + plan.listen().getPort() + ": " + e.getMessage();
        }
    }

    /** Waits until the front has a table to pick from, or for two seconds. */
    void awaitTables() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TABLES_MS);
        while (!front.hasTables() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    Http2Gateway front() {
        return front;
    }

    /** At the first SIGTERM the front drains, and the process ends once it has; further ones change nothing. */
    void onTerm(Handover handover) {
        ProcessSignals.handle(ProcessSignals.TERMINATE, () -> {
            boolean first = ending.begins(() -> {
                if (handover != null) {
                    handover.ending();
                }
                front.drain();
                endWhenDrained();
            });
            if (!first) {
                log.info("gateway", "drains still, at one more SIGTERM");
            }
        });
    }

    /** The front accepts, again or for the first time, unless it drains at a SIGTERM. */
    void accept() {
        ending.unlessBegun(front::startAccepting);
    }

    void endWhenDrained() {
        new Thread(
                        () -> {
                            try {
                                front.awaitDrained();
                            } catch (InterruptedException e) {
                                // ends all the same
                            }
                            log.info("gateway", front.totals());
                            System.exit(0);
                        },
                        "drain")
                .start();
    }
}
