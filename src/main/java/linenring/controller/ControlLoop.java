package linenring.controller;

import java.util.List;
import java.util.concurrent.locks.LockSupport;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.Planner;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;

/** The one thread that owns the decisions: takes all that has come, calls them, settles once, sends. */
public final class ControlLoop implements EventQueue.EventHandler {
    /** After a fault it decides again so late at most, though nothing arrives. */
    private static final double LONGEST_WAIT_MS = 1000;

    private final EventQueue exchange;
    private final Log log;
    private final double quantum;
    private final Clock clock;
    private final FleetState fleetState;
    private final Planner planner;
    private boolean settled; // the last round had no fault; after one the planner may have asked for no call

    public ControlLoop(PlannerSettings figures, Names names, HostList known, EventQueue exchange, Log log) {
        this(figures, names, known, exchange, log, new Clock());
    }

    ControlLoop(PlannerSettings figures, Names names, HostList known, EventQueue exchange, Log log, Clock clock) {
        this.exchange = exchange;
        this.log = log;
        this.clock = clock;
        quantum = names.quantum();
        fleetState = new FleetState(names.operations(), names.proxies(), log);
        planner = new Planner(figures, fleetState);
        planner.advanceClock(clock.now());
        if (known != null) {
            onHostList(known);
        }
        settle();
    }

    /** Decides for good; ends only if it is interrupted. */
    public void run() {
        try {
            while (true) {
                double last = clock.now();
                boolean arrived =
                        exchange.await((long) (Math.min(LONGEST_WAIT_MS, fleetState.nextAlarm() - last) * 1e6));
                if (!arrived && settled && fleetState.nextAlarm() > clock.now()) {
                    continue; // nothing is due
                }
                long early = (long) ((last + quantum - clock.now()) * 1e6); // no closer than the settings say
                if (early > 0) {
                    LockSupport.parkNanos(early);
                }
                round(clock.now());
            }
        } catch (InterruptedException e) {
            log.info("steward", "stops");
        }
    }

    /** Takes in all that has come and acts on it, as of now; a fault at one thing that came leaves out that thing alone. */
    void round(double now) {
        fleetState.alarmsUpTo(now);
        decide(() -> planner.advanceClock(now));
        long dropped = exchange.drainTo(this);
        if (dropped > 0) {
            log.warn("steward", dropped + " sums were dropped, as they came faster than they could be taken");
        }
        settle();
        decide(this::releaseRemovedHosts);
    }

    /** How many host ids there are, those that are free included. */
    int hostIds() {
        return fleetState.hostIds.limit();
    }

    /** Forgets removed hosts beyond those that are kept, the longest removed first, unless the planner has a use for them. */
    private void releaseRemovedHosts() {
        int surplus = fleetState.hostIds.surplus();
        for (int host : surplus > 0 ? fleetState.hostIds.removed() : List.<Integer>of()) {
            if (surplus > 0 && planner.releaseHost(host)) {
                fleetState.release(host);
                surplus--;
            }
        }
    }

    private void settle() {
        boolean decided = decide(planner::reconcile);
        settled = decide(fleetState::send) && decided;
    }

    /** A fault in one decision is told and must not end the others; false where there was one. */
    private boolean decide(Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.error("fault", e + (trace.length > 0 ? " at " + trace[0] : ""));
            return false;
        }
    }

    @Override
    public void onMessage(ProxyStream from, InboundMessage what) {
        boolean taken = decide(() -> {
            if (what instanceof InboundMessage.Subscribe j) {
                joined(from, j);
            } else if (what instanceof InboundMessage.Acknowledgement a) {
                if (fleetState.isCurrent(a.proxy(), from)) { // an old stream's answer tells nothing of the new one
                    planner.messageAcknowledged(a.proxy(), a.nonce(), a.elapsedMs());
                }
            } else if (what instanceof InboundMessage.LoadReport s) {
                int host = fleetState.hostIds.find(s.host());
                if (host >= 0) {
                    planner.hostStatistics(host, s.zone(), s.requests(), s.failed(), s.meanLatencyMs(), s.periodMs());
                }
            } else if (what instanceof InboundMessage.RequestRateReport u) {
                planner.requestRate(u.proxy(), u.operation(), u.periodMs(), u.requests());
            }
        });
        if (!taken && what instanceof InboundMessage.Subscribe) {
            decide(() -> from.close("can't be taken in")); // it dials again, here or elsewhere, and is not kept waiting
        }
    }

    private void joined(ProxyStream from, InboundMessage.Subscribe j) {
        if (fleetState.hasNewer(j.proxy(), from)) { // both were read in one turn, in either order
            log.info("proxy", j.proxy() + " joins on an older stream than it has");
            from.close("has been replaced before it was read");
            return;
        }
        log.info("proxy", j.proxy() + " joins" + (j.isNew() ? "" : " with a table"));
        fleetState.joined(j.proxy(), from, j.isNew());
        planner.proxyJoined(j.proxy(), j.zone(), j.usualRequestsPerSecond());
    }

    @Override
    public void onStreamClosed(ProxyStream which) {
        decide(() -> {
            int proxy = fleetState.proxyOf(which);
            if (proxy >= 0) { // else it has a newer stream, and this end is late
                log.info("proxy", proxy + " leaves");
                fleetState.left(proxy);
                planner.proxyDisconnected(proxy);
            }
        });
    }

    /** A fault at one entry leaves out that entry, and nobody goes for not being named, as in a list with a spoilt one. */
    @Override
    public void onHostList(HostList list) {
        boolean opened = decide(() -> beginList(list.removesUnnamedHosts()));
        long faults =
                list.entries().stream().filter(e -> !decide(() -> listed(e))).count();
        if (opened && faults == 0) {
            decide(() -> endList(list.removesUnnamedHosts()));
        }
    }

    private void beginList(boolean whole) {
        fleetState.hostIds.beginList();
        planner.beginHostList(whole);
    }

    private void endList(boolean whole) {
        if (whole) {
            fleetState.hostIds.endWholeList();
        }
        planner.endHostList();
    }

    private void listed(HostList.Entry e) {
        int host = fleetState.hostIds.assign(e.host());
        if (e.state() == HostList.State.GONE) {
            fleetState.hostIds.removed(host);
        } else {
            fleetState.hostIds.listed(host);
        }
        switch (e.state()) {
            case READY -> planner.hostReady(host, e.zone(), e.kind(), e.weight(), e.startedMs());
            case TERMINATING -> planner.hostDraining(host, e.zone(), e.kind(), e.weight());
            case GONE -> planner.hostRemoved(host);
        }
    }
}
