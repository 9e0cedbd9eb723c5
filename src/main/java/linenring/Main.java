package linenring;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import linenring.configuration.Assignment;
import linenring.configuration.AssignmentReader;
import linenring.discovery.HostWatch;
import linenring.exchange.Exchange;
import linenring.log.Log;
import linenring.message.Codec;
import linenring.steward.Steward;
import linenring.streams.StreamServer;
import linenring.wirehost.WireHost;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import sun.misc.Signal;

/** The command line: one subcommand for each way the decisions are reached. */
public final class Main {
    private static final String USAGE = """
            usage: linenring SUBCOMMAND
              serve      be a steward on sockets, as GW_CONFIG and the environment say
              wirehost   decide over the simulator's wire on standard input and output""";
    private static final int THREADS = 8; // two selectors, their helpers and some to spare

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        String subcommand = args.length == 1 ? args[0] : "";
        switch (subcommand) {
            case "wirehost" -> System.exit(WireHost.run(System.in, System.out, System.err));
            case "serve" -> System.exit(serve());
            default -> {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
    }

    /** Serves until the process is told to end; returns the exit code where it can't. */
    private static int serve() {
        Assignment.Outcome read = AssignmentReader.read(System.getenv());
        Assignment told = read.assignment();
        if (told == null) {
            System.err.println("linenring: " + read.fault());
            return 3;
        }
        String at = told.listen().getAddress().getHostAddress() + ":" + told.listen().getPort();
        Log log = new Log(new PrintStream(new FileOutputStream(FileDescriptor.err), true));
        Exchange exchange = new Exchange();
        Codec codec = new Codec(told.names());
        Steward steward = new Steward(told.figures(), told.names(), told.known(), exchange, log);
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
                return 4;
            }
        } catch (Exception e) { // Jetty's start() may throw any
            System.err.println("linenring: cannot start: " + e);
            return 4;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> log.info("steward", "is told to end")));
        log.info("steward", told.name() + " serves at " + at + ", "
                + ManagementFactory.getRuntimeMXBean().getUptime() + " ms after its start");
        steward.run();
        return 0;
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
