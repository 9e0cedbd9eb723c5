package linenring.command;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import linenring.configuration.Assignment;
import linenring.configuration.AssignmentReader;
import linenring.discovery.HostWatch;
import linenring.exchange.Exchange;
import linenring.front.Front;
import linenring.front.settings.FrontPlan;
import linenring.front.settings.FrontPlanReader;
import linenring.log.JsonSink;
import linenring.log.Log;
import linenring.message.Codec;
import linenring.routing.HostBook;
import linenring.steward.Steward;
import linenring.streams.StreamServer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import sun.misc.Signal;

/** Serves until it is told to end: a steward, and a front beside it where one is asked for. */
public final class Serve {
    /** Exit codes, beside 0. */
    static final int CONFIGURATION = 3, CANNOT_START = 4;

    private static final int THREADS = 8; // two selectors, their helpers and some to spare

    private Serve() {
    }

    /** With the front's settings or null; returns the exit code where it can't serve, or once it is told to end. */
    public static int run(Path frontFile, boolean json) {
        Assignment.Outcome read = AssignmentReader.read(System.getenv());
        Assignment told = read.assignment();
        if (told == null) {
            System.err.println("linenring: " + read.fault());
            return CONFIGURATION;
        }
        FrontPlan plan = null;
        if (frontFile != null) {
            FrontPlanReader.Outcome front = FrontPlanReader.read(frontFile, told.names());
            if (front.plan() == null) {
                front.faults().forEach(f -> System.err.println("linenring: " + f));
                return CONFIGURATION;
            }
            plan = front.plan();
        }
        String at = told.listen().getAddress().getHostAddress() + ":" + told.listen().getPort();
        PrintStream err = new PrintStream(new FileOutputStream(FileDescriptor.err), true);
        Log log = json ? new Log(new JsonSink(err)) : new Log(err);
        Exchange exchange = new Exchange();
        Codec codec = new Codec(told.names());
        Steward steward = new Steward(told.figures(), told.names(), told.known(), exchange, log);
        HostBook hosts = new HostBook();
        if (plan != null) { // it has all that the steward decides by, before the steward does
            if (told.known() != null) {
                hosts.listed(told.known());
            }
            exchange.follow(hosts::listed);
        }
        QueuedThreadPool threads = new QueuedThreadPool(THREADS, 2);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
        threads.setDaemon(true);
        try {
            threads.start();
            scheduler.start();
            HostWatch watch = new HostWatch(told.discovery(), told.known(), codec, exchange, log, threads, scheduler);
            watch.open();
            onHangUp(() -> reload(told, AssignmentReader.read(System.getenv()), watch, log)); // before the first PONG
            StreamServer.Opened opened = StreamServer.open(told.listen(), told.sockets(), codec, exchange, log,
                    threads, scheduler);
            if (opened.server() == null) {
                System.err.println("linenring: cannot listen at " + at + ", though "
                        + opened.reached().name().toLowerCase(java.util.Locale.ROOT) + ": " + opened.fault());
                return CANNOT_START;
            }
        } catch (Exception e) { // Jetty's start() may throw any
            System.err.println("linenring: cannot start: " + e);
            return CANNOT_START;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> log.info("steward", "is told to end")));
        log.info("steward", told.name() + " serves at " + at + ", "
                + ManagementFactory.getRuntimeMXBean().getUptime() + " ms after its start");
        if (plan != null) { // beside the steward, whose first decisions must not wait for it
            FrontPlan front = plan;
            new Thread(() -> openFront(front, told, hosts, exchange, log), "front-start").start();
        }
        steward.run();
        return 0;
    }

    private static void openFront(FrontPlan plan, Assignment told, HostBook hosts, Exchange exchange, Log log) {
        Front.Opened opened = Front.open(plan, told.figures().measure(), hosts, exchange, log);
        if (opened.front() == null) {
            System.err.println("linenring: the front cannot listen at " + plan.listen().getAddress().getHostAddress() + ":"
                    + plan.listen().getPort() + ": " + opened.fault());
            System.exit(CANNOT_START);
        }
        onTerm(opened.front(), log);
    }

    /** At the first SIGTERM the front drains, and the process ends once it has; further ones change nothing. */
    private static void onTerm(Front front, Log log) {
        AtomicBoolean told = new AtomicBoolean();
        Signal.handle(new Signal("TERM"), signal -> {
            if (!told.compareAndSet(false, true)) {
                log.info("front", "is told to end again, and drains still");
                return;
            }
            front.drain();
            new Thread(() -> {
                try {
                    front.awaitDrained();
                } catch (InterruptedException e) {
                    // ends all the same
                }
                log.info("front", front.totals());
                System.exit(0);
            }, "drain").start();
        });
    }

    /** Does this at each SIGHUP, which otherwise ends the process; one at a time. */
    static void onHangUp(Runnable what) {
        Object turn = new Object();
        Signal.handle(new Signal("HUP"), signal -> {
            synchronized (turn) {
                what.run();
            }
        });
    }

    /** Goes on with what is new in the configuration, or with the old one where it is at fault. */
    static void reload(Assignment held, Assignment.Outcome read, HostWatch watch, Log log) {
        if (read.assignment() == null) {
            log.warn("reload", "goes on as before: " + read.fault());
            return;
        }
        List<String> fixed = held.fixedKeysThatDiffer(read.assignment());
        log.info("reload", "the configuration is read again" + (fixed.isEmpty() ? ""
                : "; what can't change while it runs stays: " + String.join(", ", fixed)));
        watch.moveTo(read.assignment().discovery());
    }
}
