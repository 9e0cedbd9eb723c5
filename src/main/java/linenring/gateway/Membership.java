package linenring.gateway;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;
import linenring.routing.RollingStatistics;
import linenring.routing.Tables;
import linenring.routing.UnusableUpdateException;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/**
 * The front as one more proxy of the steward, in its process: joins through the exchange, applies orders, answers
 * marks, reports. The steward's thread is never kept waiting.
 */
final class Membership {
    private static final long REJOIN_MS = 200; // as proxies dial again within 0.1 to 2 s

    /** One stream to the steward; orders on one that was left change nothing. */
    private final class Joined implements ProxyStream {
        private final long number = exchange.nextStreamNumber();

        @Override
        public long number() {
            return number;
        }

        @Override
        public void write(ConfigurationUpdate order) {
            orders.offer(() -> apply(this, order));
            executor.execute(orders::run);
        }

        @Override
        public void close(String why) {
            orders.offer(() -> broke(this, why));
            executor.execute(orders::run);
        }
    }

    /** Tasks one after the other, on whichever thread runs them. */
    private static final class Line {
        private final SerializedInvoker invoker = new SerializedInvoker();
        private final java.util.concurrent.ConcurrentLinkedQueue<Runnable> next =
                new java.util.concurrent.ConcurrentLinkedQueue<>();

        void offer(Runnable task) {
            Runnable link = invoker.offer(task);
            if (link != null) {
                next.add(link);
            }
        }

        void run() {
            for (Runnable link = next.poll(); link != null; link = next.poll()) {
                link.run();
            }
        }
    }

    private final GatewaySettings plan;
    private final EventQueue exchange;
    private final Tables tables;
    private final RollingStatistics sums;
    private final DoubleSupplier clock;
    private final Executor executor;
    private final Scheduler scheduler;
    private final Runnable changed;
    private final Log log;
    private final Line orders = new Line();
    private volatile Joined joined;
    private volatile boolean leaving;

    Membership(
            GatewaySettings plan,
            EventQueue exchange,
            Tables tables,
            RollingStatistics sums,
            DoubleSupplier clock,
            Executor executor,
            Scheduler scheduler,
            Runnable changed,
            Log log) {
        this.plan = plan;
        this.exchange = exchange;
        this.tables = tables;
        this.sums = sums;
        this.clock = clock;
        this.executor = executor;
        this.scheduler = scheduler;
        this.changed = changed;
        this.log = log;
    }

    synchronized void join() {
        if (leaving) {
            return; // told to leave while it waited to join again
        }
        Joined now = new Joined();
        joined = now;
        exchange.enqueueMessage(
                now, new InboundMessage.Subscribe(plan.proxy(), plan.zone(), plan.usual(), tables.isEmpty()));
    }

    /** Starts to report every so often. */
    void report() {
        Joined now = joined;
        if (leaving) {
            return;
        }
        sums.drainReport(clock.getAsDouble()).forEach(a -> exchange.enqueueMessage(now, a));
        scheduler.schedule(this::report, (long) plan.reportMs(), TimeUnit.MILLISECONDS);
    }

    synchronized void leave() {
        leaving = true;
        if (joined != null) { // else it is between two streams, and has none to end
            exchange.enqueueStreamClosed(joined);
        }
    }

    private void apply(Joined on, ConfigurationUpdate order) {
        if (on != joined) {
            return;
        }
        double from = clock.getAsDouble();
        List<Integer> nonces;
        try {
            nonces = tables.apply(order);
        } catch (UnusableUpdateException e) {
            exchange.enqueueStreamClosed(on);
            broke(on, "brought an order that can't be used: " + e.getMessage());
            return;
        }
        changed.run();
        double took = clock.getAsDouble() - from;
        nonces.forEach(
                mark -> exchange.enqueueMessage(on, new InboundMessage.Acknowledgement(plan.proxy(), mark, took)));
    }

    private void broke(Joined was, String why) {
        if (was == joined && !leaving) {
            log.warn("front", "its stream to the steward " + why + ": joins again");
            joined = null;
            scheduler.schedule(this::join, REJOIN_MS, TimeUnit.MILLISECONDS);
        }
    }
}
