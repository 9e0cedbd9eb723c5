package linenring.controller;

import java.util.Iterator;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.Planner;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;

/**
 * The controller's control loop. Each round takes all events from the queue, passes them to the planner, runs one
 * reconciliation, and sends each affected proxy one update with the planner's commands. Not thread-safe: the thread that calls
 * {@link #run} owns all state of the controller.
 */
public final class ControlLoop implements EventQueue.EventHandler {
    /**
     * Maximum wait for an event. A fault may keep the planner from requesting its next reconciliation; without this limit the
     * loop would then wait until the next event.
     */
    private static final double MAX_WAIT_MS = 1000;

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventQueue eventQueue;
    private final Log log;
    /** Minimum time between two rounds, so that events that arrive close together are handled in one round. */
    private final double minRoundIntervalMs;

    private final Clock clock;
    private final FleetState fleetState;
    private final Planner planner;
    /**
     * Whether the last reconciliation and the sending of its updates succeeded. After a fault the planner may not have requested its
     * next call.
     */
    private boolean lastRoundSucceeded;

    /**
     * Creates the control loop and runs the first reconciliation.
     *
     * @param initialHosts the host list that was known before the start, or null if there is none
     */
    public ControlLoop(PlannerSettings settings, Names names, HostList initialHosts, EventQueue eventQueue, Log log) {
        this(settings, names, initialHosts, eventQueue, log, new Clock());
    }

    ControlLoop(
            PlannerSettings settings, Names names, HostList initialHosts, EventQueue eventQueue, Log log, Clock clock) {
        this.eventQueue = eventQueue;
        this.log = log;
        this.clock = clock;
        minRoundIntervalMs = names.batchIntervalMs();
        fleetState = new FleetState(names.operations(), names.proxyCount(), log);
        planner = new Planner(settings, fleetState);
        planner.advanceClock(clock.nowMs());
        if (initialHosts != null) {
            onHostList(initialHosts);
        }
        reconcileAndSend();
    }

    /** Runs rounds until the thread is interrupted. */
    public void run() {
        try {
            while (true) {
                awaitAndRunRound();
            }
        } catch (InterruptedException interrupt) {
            log.info("controller", "control loop stopped because its thread was interrupted");
        }
    }

    private void awaitAndRunRound() throws InterruptedException {
        double waitStartMs = clock.nowMs();
        double waitMs = Math.min(MAX_WAIT_MS, fleetState.nextCallMs() - waitStartMs);
        boolean hasEvents = eventQueue.await((long) (waitMs * NANOS_PER_MILLI));
        boolean isCallDue = fleetState.nextCallMs() <= clock.nowMs();
        if (!hasEvents && lastRoundSucceeded && !isCallDue) {
            return;
        }
        long untilNextRoundNanos = (long) ((waitStartMs + minRoundIntervalMs - clock.nowMs()) * NANOS_PER_MILLI);
        if (untilNextRoundNanos > 0) {
            LockSupport.parkNanos(untilNextRoundNanos);
        }
        runRound(clock.nowMs());
    }

    /** Handles all queued events, reconciles, and sends updates. A fault in one event drops only that event. */
    void runRound(double nowMs) {
        fleetState.removeCallsUpTo(nowMs);
        runLoggingFault(() -> planner.advanceClock(nowMs));
        long droppedReports = eventQueue.drainTo(this);
        if (droppedReports > 0) {
            log.warn(
                    "controller",
                    "dropped the " + droppedReports + " oldest load and request rate reports because more than "
                            + EventQueue.MAX_QUEUED_REPORTS + " were queued");
        }
        reconcileAndSend();
        runLoggingFault(this::releaseRemovedHosts);
    }

    /** Returns the number of host ids, including free ids. */
    int hostIdCount() {
        return fleetState.hostIds().idLimit();
    }

    /** Releases removed hosts beyond the limit in order of removal, except hosts that the planner still uses. */
    private void releaseRemovedHosts() {
        int excessHosts = fleetState.hostIds().countRemovedBeyondLimit();
        if (excessHosts == 0) {
            return;
        }
        Iterator<Integer> removedHosts = fleetState.hostIds().removedIds().iterator();
        while (excessHosts > 0 && removedHosts.hasNext()) {
            int host = removedHosts.next();
            if (planner.releaseHost(host)) {
                fleetState.releaseHost(host);
                excessHosts--;
            }
        }
    }

    private void reconcileAndSend() {
        boolean hasReconciled = runLoggingFault(planner::reconcile);
        boolean hasSent = runLoggingFault(fleetState::send);
        lastRoundSucceeded = hasReconciled && hasSent;
    }

    /**
     * Runs one step and logs a fault in it instead of throwing; returns whether the step succeeded. A fault must not end the
     * control loop: proxies would keep outdated tables and continue to send requests to removed hosts.
     */
    private boolean runLoggingFault(Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException fault) {
            StackTraceElement[] trace = fault.getStackTrace();
            log.error("fault", fault + (trace.length > 0 ? " at " + trace[0] : ""));
            return false;
        }
    }

    @Override
    public void onMessage(ProxyStream stream, InboundMessage message) {
        boolean isHandled = runLoggingFault(() -> handle(stream, message));
        if (!isHandled && message instanceof InboundMessage.Subscribe) {
            // Without an update the proxy would wait forever. Closing its stream makes it reconnect, possibly to
            // another controller.
            runLoggingFault(() -> stream.close(
                    "subscription failed in the controller; closing the stream so that the proxy reconnects"));
        }
    }

    private void handle(ProxyStream stream, InboundMessage message) {
        if (message instanceof InboundMessage.Subscribe subscribe) {
            subscribe(stream, subscribe);
        } else if (message instanceof InboundMessage.Acknowledgement acknowledgement) {
            acknowledge(stream, acknowledgement);
        } else if (message instanceof InboundMessage.LoadReport report) {
            reportLoad(report);
        } else if (message instanceof InboundMessage.RequestRateReport report) {
            planner.requestRate(report.proxy(), report.operation(), report.periodMs(), report.requests());
        }
    }

    private void subscribe(ProxyStream stream, InboundMessage.Subscribe subscribe) {
        int proxy = subscribe.proxy();
        if (fleetState.hasNewerStream(proxy, stream)) { // a round may handle both subscriptions in either order
            log.info(
                    "proxy", proxy + " subscribed on an older stream; closing it because the proxy has a newer stream");
            stream.close("replaced by a newer stream of the same proxy before its subscription was read");
            return;
        }
        log.info("proxy", proxy + " subscribed" + (subscribe.isNew() ? "" : "; it already holds a configuration"));
        fleetState.connect(proxy, stream, subscribe.isNew());
        planner.proxyJoined(proxy, subscribe.zone(), subscribe.usualRequestsPerSecond());
    }

    /**
     * Passes an acknowledgement to the planner unless it arrived on an old stream, where it confirms nothing that was sent on the
     * new one.
     */
    private void acknowledge(ProxyStream stream, InboundMessage.Acknowledgement acknowledgement) {
        int proxy = acknowledgement.proxy();
        if (fleetState.isCurrentStream(proxy, stream)) {
            planner.messageAcknowledged(proxy, acknowledgement.nonce(), acknowledgement.elapsedMs());
        }
    }

    private void reportLoad(InboundMessage.LoadReport report) {
        OptionalInt host = fleetState.hostIds().findId(report.host());
        if (host.isPresent()) {
            planner.hostStatistics(
                    host.getAsInt(),
                    report.zone(),
                    report.requests(),
                    report.failed(),
                    report.meanLatencyMs(),
                    report.periodMs());
        }
    }

    @Override
    public void onStreamClosed(ProxyStream stream) {
        runLoggingFault(() -> fleetState.findProxy(stream).ifPresent(proxy -> {
            log.info("proxy", proxy + " disconnected");
            fleetState.disconnect(proxy);
            planner.proxyDisconnected(proxy);
        }));
    }

    /**
     * Applies a host list. After a fault in one entry, hosts missing from a complete list are not removed: the failed entry may
     * have listed one of them.
     */
    @Override
    public void onHostList(HostList list) {
        boolean hasBegunList = runLoggingFault(() -> beginList(list.removesUnlistedHosts()));
        long failedEntries = list.entries().stream()
                .filter(entry -> !runLoggingFault(() -> applyEntry(entry)))
                .count();
        if (hasBegunList && failedEntries == 0) {
            runLoggingFault(() -> endList(list.removesUnlistedHosts()));
        }
    }

    private void beginList(boolean removesUnnamedHosts) {
        fleetState.hostIds().beginList();
        planner.beginHostList(removesUnnamedHosts);
    }

    private void endList(boolean removesUnnamedHosts) {
        if (removesUnnamedHosts) {
            fleetState.hostIds().endCompleteList();
        }
        planner.endHostList();
    }

    private void applyEntry(HostList.Entry entry) {
        int host = fleetState.hostIds().assign(entry.host());
        if (entry.state() == HostList.State.GONE) {
            fleetState.hostIds().markRemoved(host);
        } else {
            fleetState.hostIds().markListed(host);
        }
        switch (entry.state()) {
            case READY -> planner.hostReady(host, entry.zone(), entry.kind(), entry.weight(), entry.startedMs());
            case TERMINATING -> planner.hostDraining(host, entry.zone(), entry.kind(), entry.weight());
            case GONE -> planner.hostRemoved(host);
        }
    }
}
