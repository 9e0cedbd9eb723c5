package linenring.gateway;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
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

/**
 * The gateway as one more proxy of the controller in its process: subscribes through the event queue, applies
 * configuration updates, acknowledges them, reports. The controller's thread is never kept waiting: what it hands over
 * is applied by {@link SerialTasks} of the gateway's threads.
 */
final class ControllerSubscription {
    /** As proxies, which dial again within 0.1 to 2 s. */
    private static final long RESUBSCRIBE_MS = 200;

    /** One stream to the controller; updates on one that has ended change nothing. */
    private final class Subscription implements ProxyStream {
        private final long number = events.nextStreamNumber();

        @Override
        public long number() {
            return number;
        }

        @Override
        public void write(ConfigurationUpdate update) {
            updates.execute(() -> apply(this, update));
        }

        @Override
        public void close(String reason) {
            updates.execute(() -> streamBroke(this, reason));
        }
    }

    private final GatewaySettings settings;
    private final EventQueue events;
    private final Tables tables;
    private final RollingStatistics statistics;
    private final RequestServices services;
    private final SerialTasks updates;
    private final Log log;
    private volatile Subscription current; // null between two streams
    private volatile boolean leaving; // written under this

    ControllerSubscription(
            GatewaySettings settings,
            EventQueue events,
            Tables tables,
            RequestServices services,
            Executor executor,
            Log log) {
        this.settings = settings;
        this.events = events;
        this.tables = tables;
        this.services = services;
        this.log = log;
        statistics = services.statistics();
        updates = new SerialTasks(executor);
    }

    synchronized void subscribe() {
        if (leaving) {
            return; // it was to leave while it waited to subscribe again
        }
        Subscription next = new Subscription();
        current = next;
        events.enqueueMessage(
                next,
                new InboundMessage.Subscribe(
                        settings.proxy(), settings.zone(), settings.usualPerSecond(), tables.isEmpty()));
    }

    /** Reports now, and from then on at every interval. */
    void report() {
        Subscription stream = current;
        if (leaving) {
            return;
        }
        statistics.drainReport(services.nowMs()).forEach(message -> events.enqueueMessage(stream, message));
        scheduler().schedule(this::report, (long) settings.reportIntervalMs(), TimeUnit.MILLISECONDS);
    }

    synchronized void leave() {
        leaving = true;
        if (current != null) { // else there is no stream to end
            events.enqueueStreamClosed(current);
        }
    }

    private void apply(Subscription stream, ConfigurationUpdate update) {
        if (!stream.equals(current)) {
            return;
        }
        double startedAtMs = services.nowMs();
        List<Integer> nonces;
        try {
            nonces = tables.apply(update);
        } catch (UnusableUpdateException unusable) {
            events.enqueueStreamClosed(stream);
            streamBroke(stream, "brought a configuration update that cannot be applied: " + unusable.getMessage());
            return;
        }
        services.upstreams().refresh();
        double appliedMs = services.nowMs() - startedAtMs;
        nonces.forEach(nonce ->
                events.enqueueMessage(stream, new InboundMessage.Acknowledgement(settings.proxy(), nonce, appliedMs)));
    }

    private void streamBroke(Subscription stream, String reason) {
        if (stream.equals(current) && !leaving) {
            log.warn(Http2Gateway.LOG_SUBJECT, "its stream to the controller " + reason + ": subscribes again");
            current = null;
            scheduler().schedule(this::subscribe, RESUBSCRIBE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private Scheduler scheduler() {
        return services.scheduler();
    }
}
