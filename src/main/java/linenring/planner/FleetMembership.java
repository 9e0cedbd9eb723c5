package linenring.planner;

/**
 * Applies the host lists, which tell which hosts are ready, draining or removed. Inputs: entries of complete lists
 * or of list changes, with the start times of hosts (ms on the planner's clock).
 *
 * <p>Failure guarded against: a wrong list names hosts that do not exist, and requests to them fail. A host is
 * unverified if it first appears in a list change although its start time says that the first complete list should
 * have named it. An unverified host starts on probation with a small share of its weight. The probation could do
 * harm where lists are very late: a sound host then gets little traffic for some seconds.
 */
final class FleetMembership {
    /** Delay of host lists: a host that started within this time before the first list may be missing in that list. */
    private static final double LIST_DELAY_MS = 20_000;

    private static final double BEFORE_FIRST_INPUT = -1;

    private final PlannerContext context;
    private final OutlierDetector outlierDetector;
    private double firstInputAtMs = BEFORE_FIRST_INPUT;
    private boolean isCompleteList;

    FleetMembership(PlannerContext context, OutlierDetector outlierDetector) {
        this.context = context;
        this.outlierDetector = outlierDetector;
    }

    /** Records the time of the first input; later calls do nothing. */
    void recordFirstInput() {
        if (firstInputAtMs < 0) {
            firstInputAtMs = context.nowMs();
        }
    }

    void beginList(boolean isComplete) {
        isCompleteList = isComplete;
        context.fleet().hosts().forEach(Host::beginList);
    }

    void hostReady(int id, int zone, int kind, double weight, double startedMs) {
        boolean isFirstSeenInChange = !isCompleteList && !context.fleet().hasHost(id);
        Host host = update(id, zone, kind, weight);
        host.markReady(startedMs);
        boolean shouldHaveBeenListed = context.warmUp().isWarm(host) && startedMs < firstInputAtMs - LIST_DELAY_MS;
        if (isFirstSeenInChange && shouldHaveBeenListed) {
            outlierDetector.startProbationOfUnverified(host);
        }
    }

    void hostDraining(int id, int zone, int kind, double weight) {
        markDraining(update(id, zone, kind, weight));
    }

    /**
     * Marks a removed host as draining, so that proxies eject it, unless the settings say that removed hosts keep
     * running.
     */
    void hostRemoved(int id) {
        Host host = context.fleet().host(id);
        host.markListed();
        if (!context.settings().removedHostsKeepRunning() || !host.isRunning()) {
            markDraining(host);
        }
    }

    private Host update(int id, int zone, int kind, double weight) {
        Host host = context.fleet().host(id);
        host.update(zone, kind, weight);
        context.statistics().markStale();
        return host;
    }

    private void markDraining(Host host) {
        // a proxy that has just joined was not notified when the host was ejected for its health
        host.markDraining(!context.fleet().hasProxyAwaitingFirstBind());
        context.statistics().markStale();
    }

    /** Ends the host list; each host that a complete list did not name is removed. */
    void endList() {
        context.fleet().hosts().stream()
                .filter(host -> isCompleteList && !host.isListed() && !host.isReleased())
                .forEach(host -> hostRemoved(host.id()));
    }

    /**
     * Releases the id of a removed host for use by another host; returns false while a table still has an entry for
     * the host.
     */
    boolean releaseHost(int id) {
        TableRegistry registry = context.registry();
        boolean isFree = !registry.isSharded()
                && context.fleet().isRemoved(id)
                && registry.tablesHolding(context.fleet().hosts().get(id)).isEmpty();
        if (isFree) {
            registry.removeFromSubsetTables(context.fleet().release(id));
        }
        return isFree;
    }
}
