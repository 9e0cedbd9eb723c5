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
 * The one thread that owns all state of the controller. Each round takes all events from the queue, hands them to the planner,
 * lets it decide once, and sends what it has commanded. The thread that calls {@link #run} is the owner; nothing here is
 * thread-safe.
 */
public final class ControlLoop implements EventQueue.EventHandler {
    /**
     * The longest wait for an event. After a fault the planner may not have asked for its next call, and without this limit
     * would wait until something arrives.
     */
    private static final double MAX_WAIT_MS = 1000;

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventQueue eventQueue;
    private final Log log;
    /** Rounds are no closer together than this. */
    private final double quantumMs;

    private final Clock clock;
    private final FleetState fleetState;
    private final Planner planner;
    /** Whether the last round had no fault; after one the planner may have asked for no call. */
    private boolean lastRoundSucceeded;

    /**
     * Decides for the first time, on the hosts that are known already.
     *
     * @param knownHosts the list of hosts from before the start, or null where there is none
     */
    public ControlLoop(PlannerSettings settings, Names names, HostList knownHosts, EventQueue eventQueue, Log log) {
        this(settings, names, knownHosts, eventQueue, log, new Clock());
    }

    ControlLoop(
            PlannerSettings settings, Names names, HostList knownHosts, EventQueue eventQueue, Log log, Clock clock) {
        this.eventQueue = eventQueue;
        this.log = log;
        this.clock = clock;
        quantumMs = names.quantumMs();
        fleetState = new FleetState(names.operations(), names.proxyCount(), log);
        planner = new Planner(settings, fleetState);
        planner.advanceClock(clock.nowMs());
        if (knownHosts != null) {
            onHostList(knownHosts);
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
            log.info("controller", "control loop stopped");
        }
    }

    private void awaitAndRunRound() throws InterruptedException {
        double lastMs = clock.nowMs();
        double waitMs = Math.min(MAX_WAIT_MS, fleetState.nextCallMs() - lastMs);
        boolean hasEvents = eventQueue.await((long) (waitMs * NANOS_PER_MILLI));
        boolean isCallDue = fleetState.nextCallMs() <= clock.nowMs();
        if (!hasEvents && lastRoundSucceeded && !isCallDue) {
            return;
        }
        long earlyNanos = (long) ((lastMs + quantumMs - clock.nowMs()) * NANOS_PER_MILLI);
        if (earlyNanos > 0) {
            LockSupport.parkNanos(earlyNanos);
        }
        runRound(clock.nowMs());
    }

    /** Handles all events that are queued, and acts on them; a fault at one event drops that event alone. */
    void runRound(double nowMs) {
        fleetState.removeCallsUpTo(nowMs);
        guard(() -> planner.advanceClock(nowMs));
        long dropped = eventQueue.drainTo(this);
        if (dropped > 0) {
            log.warn(
                    "controller",
                    "the " + dropped + " oldest load and request rate reports were dropped, as over "
                            + EventQueue.MAX_QUEUED_REPORTS + " were queued");
        }
        reconcileAndSend();
        guard(this::releaseRemovedHosts);
    }

    /** How many host ids there are, those that are free included. */
    int hostIdCount() {
        return fleetState.hostIds().limit();
    }

    /** Forgets removed hosts beyond the limit, the longest removed first, unless the planner still has a use for them. */
    private void releaseRemovedHosts() {
        int surplus = fleetState.hostIds().surplus();
        if (surplus == 0) {
            return;
        }
        Iterator<Integer> removed = fleetState.hostIds().removed().iterator();
        while (surplus > 0 && removed.hasNext()) {
            int host = removed.next();
            if (planner.releaseHost(host)) {
                fleetState.release(host);
                surplus--;
            }
        }
    }

    private void reconcileAndSend() {
        boolean decided = guard(planner::reconcile);
        boolean sent = guard(fleetState::send);
        lastRoundSucceeded = decided && sent;
    }

    /**
     * Runs one step so that a fault in it is logged and ends neither the loop nor the steps after it: proxies would go on with
     * tables that nobody updates, and withdraw no host that leaves. False where there was a fault.
     */
    private boolean guard(Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException fault) {
            StackTraceElement[] trace = fault.getStackTrace();
            log.error("fault", fault + (trace.length > 0 ? " at " + trace[0] : ""));
            return false;
        }
    }

    // ---- messages

    @Override
    public void onMessage(ProxyStream stream, InboundMessage message) {
        boolean isHandled = guard(() -> handle(stream, message));
        if (!isHandled && message instanceof InboundMessage.Subscribe) {
            // The proxy would wait for a configuration in vain; closed, it dials again, here or elsewhere.
            guard(() -> stream.close("its subscription failed"));
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
        if (fleetState.hasNewer(proxy, stream)) { // both were read in one round, in either order
            log.info("proxy", proxy + " subscribed on an older stream, which is closed; the newer one stays");
            stream.close("has been replaced before it was read");
            return;
        }
        log.info("proxy", proxy + " subscribed" + (subscribe.isNew() ? "" : ", holding a configuration"));
        fleetState.connect(proxy, stream, subscribe.isNew());
        planner.proxyJoined(proxy, subscribe.zone(), subscribe.usualRequestsPerSecond());
    }

    /** An acknowledgement on an old stream says nothing of what was sent on the new one. */
    private void acknowledge(ProxyStream stream, InboundMessage.Acknowledgement acknowledgement) {
        int proxy = acknowledgement.proxy();
        if (fleetState.isCurrent(proxy, stream)) {
            planner.messageAcknowledged(proxy, acknowledgement.nonce(), acknowledgement.elapsedMs());
        }
    }

    private void reportLoad(InboundMessage.LoadReport report) {
        OptionalInt host = fleetState.hostIds().find(report.host());
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
        guard(() -> fleetState.proxyOf(stream).ifPresent(proxy -> {
            log.info("proxy", proxy + " disconnected");
            fleetState.disconnect(proxy);
            planner.proxyDisconnected(proxy);
        }));
    }

    // ---- the host list

    /** After a fault at one entry no host is removed for not being named: the list may have named it in that entry. */
    @Override
    public void onHostList(HostList list) {
        boolean hasBegun = guard(() -> beginList(list.removesUnnamedHosts()));
        long faults = list.entries().stream()
                .filter(entry -> !guard(() -> applyEntry(entry)))
                .count();
        if (hasBegun && faults == 0) {
            guard(() -> endList(list.removesUnnamedHosts()));
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
