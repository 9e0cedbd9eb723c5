package linenring.planner;

/**
 * Applies the host lists: which hosts are ready, drain or are gone. Inputs: entries of lists, complete ones or changes, with the start
 * times of hosts (ms on the planner's clock).
 *
 * <p>Failure guarded against: a wrong list names hosts that do not exist, and requests to them fail. So a host first met in a
 * change of the list that claims to be old, and should have been in the first list, is tried with little before it gets its
 * weight. It could do harm where lists are very late: a sound host serves little for some seconds.
 */
final class FleetMembership {
    /** Lists are late: a host that started within this time before the first one may be missing there. */
    private static final double LIST_DELAY_MS = 20_000;

    private static final double NOT_STARTED = -1;

    private final PlannerContext context;
    private final OutlierDetector outliers;
    private double startedAtMs = NOT_STARTED;
    private boolean isCompleteList;

    FleetMembership(PlannerContext context, OutlierDetector outliers) {
        this.context = context;
        this.outliers = outliers;
    }

    /** Notes the time of the first input; later calls do nothing. */
    void start() {
        if (startedAtMs < 0) {
            startedAtMs = context.nowMs();
        }
    }

    void beginList(boolean isComplete) {
        isCompleteList = isComplete;
        context.fleet().hosts().forEach(Host::beginList);
    }

    void ready(int id, int zone, int kind, double weight, double startedMs) {
        boolean isFirstMetInChange = !isCompleteList && !context.fleet().isKnown(id);
        Host host = update(id, zone, kind, weight);
        host.markReady(startedMs);
        boolean shouldHaveBeenListed = context.warmUp().isWarm(host) && startedMs < startedAtMs - LIST_DELAY_MS;
        if (isFirstMetInChange && shouldHaveBeenListed) {
            outliers.startProbationOfUnverified(host);
        }
    }

    void draining(int id, int zone, int kind, double weight) {
        markLeaving(update(id, zone, kind, weight));
    }

    /** A removed host is ejected, unless the settings say that such hosts need not stop. */
    void removed(int id) {
        Host host = context.fleet().host(id);
        host.markListed();
        if (!context.settings().removedHostsKeepRunning() || !host.isRunning()) {
            markLeaving(host);
        }
    }

    private Host update(int id, int zone, int kind, double weight) {
        Host host = context.fleet().host(id);
        host.update(zone, kind, weight);
        context.statistics().markStale();
        return host;
    }

    private void markLeaving(Host host) {
        // a newcomer was not there when the host was ejected for its health
        host.markLeaving(!context.fleet().hasNewcomer());
        context.statistics().markStale();
    }

    /** Hosts that a complete list does not name are gone. */
    void endList() {
        context.fleet().hosts().stream()
                .filter(host -> isCompleteList && !host.isListed() && !host.isReleased())
                .forEach(host -> removed(host.id()));
    }

    /** Forgets a removed host, whose id may then be another's; false while a table has an entry for it. */
    boolean release(int id) {
        TableRegistry registry = context.registry();
        boolean isFree = !registry.isSharded()
                && context.fleet().isRemoved(id)
                && registry.holding(context.fleet().hosts().get(id)).isEmpty();
        if (isFree) {
            registry.forget(context.fleet().release(id));
        }
        return isFree;
    }
}
