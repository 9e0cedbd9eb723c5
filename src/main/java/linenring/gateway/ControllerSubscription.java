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
import linenring.routing.EndpointTables;
import linenring.routing.InvalidUpdateException;
import linenring.routing.LoadStatistics;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Subscribes the gateway as a proxy of the controller in the same process: subscribes through the event queue, applies
 * and acknowledges configuration updates, and sends load reports. The controller's thread never waits for the gateway,
 * since a {@link SerialExecutor} applies the updates on the gateway's threads.
 */
final class ControllerSubscription {
    /** Delay before a new subscription, within the 0.1 to 2 s in which other proxies reconnect. */
    private static final long RESUBSCRIBE_DELAY_MS = 200;

    /** One stream to the controller; updates that arrive on a stream which has ended are ignored. */
    private final class Subscription implements ProxyStream {
        private final long number = events.nextStreamNumber();

        @Override
        public long streamNumber() {
            return number;
        }

        @Override
        public void write(ConfigurationUpdate update) {
            updateTasks.execute(() -> apply(this, update));
        }

        @Override
        public void close(String reason) {
            updateTasks.execute(() -> streamLost(this, reason));
        }
    }

    private final GatewaySettings settings;
    private final EventQueue events;
    private final EndpointTables tables;
    private final LoadStatistics statistics;
    private final RequestServices services;
    private final SerialExecutor updateTasks;
    private final Log log;
    private volatile Subscription currentStream; // null until the gateway has subscribed again after a lost stream
    private volatile boolean isUnsubscribed; // written while holding the lock of this

    ControllerSubscription(
            GatewaySettings settings,
            EventQueue events,
            EndpointTables tables,
            RequestServices services,
            Executor executor,
            Log log) {
        this.settings = settings;
        this.events = events;
        this.tables = tables;
        this.services = services;
        this.log = log;
        statistics = services.statistics();
        updateTasks = new SerialExecutor(executor);
    }

    synchronized void subscribe() {
        if (isUnsubscribed) {
            return; // unsubscribe() was called during the delay before this subscription
        }
        Subscription next = new Subscription();
        currentStream = next;
        events.enqueueMessage(
                next,
                new InboundMessage.Subscribe(
                        settings.proxy(), settings.zone(), settings.usualRequestsPerSecond(), tables.isEmpty()));
    }

    /** Sends load reports now and then periodically. */
    void sendReport() {
        Subscription stream = currentStream;
        if (isUnsubscribed) {
            return;
        }
        statistics.takeReports(services.nowMs()).forEach(message -> events.enqueueMessage(stream, message));
        scheduler().schedule(this::sendReport, (long) settings.reportIntervalMs(), TimeUnit.MILLISECONDS);
    }

    synchronized void unsubscribe() {
        isUnsubscribed = true;
        if (currentStream != null) { // without a current stream there is nothing to close
            events.enqueueStreamClosed(currentStream);
        }
    }

    private void apply(Subscription stream, ConfigurationUpdate update) {
        if (!stream.equals(currentStream)) {
            return;
        }
        double startedAtMs = services.nowMs();
        List<Integer> nonces;
        try {
            nonces = tables.apply(update);
        } catch (InvalidUpdateException unusable) {
            events.enqueueStreamClosed(stream);
            streamLost(stream, "a configuration update cannot be applied: " + unusable.getMessage());
            return;
        }
        services.upstreams().refresh();
        double appliedMs = services.nowMs() - startedAtMs;
        nonces.forEach(nonce ->
                events.enqueueMessage(stream, new InboundMessage.Acknowledgement(settings.proxy(), nonce, appliedMs)));
    }

    private void streamLost(Subscription stream, String reason) {
        if (stream.equals(currentStream) && !isUnsubscribed) {
            log.warn(Http2Gateway.LOG_SUBJECT, "stream to the controller has ended: " + reason + "; subscribing again");
            currentStream = null;
            scheduler().schedule(this::subscribe, RESUBSCRIBE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private Scheduler scheduler() {
        return services.scheduler();
    }
}
