package linenring.planner;

/** State of one host. Times are milliseconds on the planner's clock. */
final class Host {
    /** Value of {@link #subset()} for a host that is in no subset. */
    static final int WITHOUT_SUBSET = -1;

    private final int id;
    private final HostHealth health = new HostHealth();
    private final Outcomes outcomes = new Outcomes();
    private int zone;
    private int kind;
    private double weight = 1;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private boolean running;
    private boolean draining;
    private boolean listed;
    private boolean released;
    private boolean ejected;
    private int subset = WITHOUT_SUBSET;

    Host(int id) {
        this.id = id;
    }

    /** Returns a placeholder for an id whose host has been released and that no other host uses yet. */
    static Host released(int id) {
        Host placeholder = new Host(id);
        placeholder.released = true;
        return placeholder;
    }

    int id() {
        return id;
    }

    int zone() {
        return zone;
    }

    /** Kind of the host (machine type). */
    int kind() {
        return kind;
    }

    /** Weight of the host according to the host list. */
    double weight() {
        return weight;
    }

    double startedMs() {
        return startedMs;
    }

    HostHealth health() {
        return health;
    }

    /** Decaying totals of the attempts at this host. */
    Outcomes outcomes() {
        return outcomes;
    }

    /** Whether the host list names the host as ready. */
    boolean isRunning() {
        return running;
    }

    /** Whether the host list that is being read has named the host. */
    boolean isListed() {
        return listed;
    }

    boolean isReleased() {
        return released;
    }

    /**
     * Whether the host is ejected at the proxies: as unhealthy, because it drains, or because it is cold in a retry
     * storm.
     */
    boolean isEjected() {
        return ejected;
    }

    void setEjected(boolean newEjected) {
        ejected = newEjected;
    }

    /** Subset that the host is assigned to, or {@link #WITHOUT_SUBSET}. */
    int subset() {
        return subset;
    }

    void assignTo(int newSubset) {
        subset = newSubset;
    }

    /** Starts to read a host list, which has not named this host yet. */
    void beginList() {
        listed = false;
    }

    /** Records that the host list being read names this host. */
    void markListed() {
        listed = true;
        released = false;
    }

    /** Updates the host from its list entry; a weight of 0 or less means that the list gives none, and counts as 1. */
    void update(int newZone, int newKind, double newWeight) {
        markListed();
        zone = newZone;
        kind = newKind;
        weight = newWeight > 0 ? newWeight : 1;
    }

    /**
     * Marks the host as ready. The outcomes and the health of an earlier process are discarded, since they say
     * nothing about a new process.
     */
    void markReady(double newStartedMs) {
        if (!running || newStartedMs > startedMs) {
            health.reset();
            outcomes.clear();
        }
        startedMs = newStartedMs;
        running = true;
        draining = false;
    }

    /** Marks the host as draining or removed; an ejection stays on record only if all proxies know of it. */
    void markDraining(boolean isEjectionKnownToProxies) {
        running = false;
        ejected &= isEjectionKnownToProxies;
        draining = true;
    }

    /** Whether the host is draining or removed and the proxies have yet to be notified. */
    boolean mustDrain() {
        return draining && !ejected;
    }

    /**
     * Time at which a decision about the host may next change without an input: now while the host warms up, has
     * outcomes, is on probation or waits for a write, and infinity if time changes nothing.
     */
    double nextDueMs(double nowMs, double rampMs) {
        boolean isUnsettled = running && (nowMs - startedMs < rampMs || ejected != health.isUnhealthy());
        if (outcomes.ended() > 0 || mustDrain() || isUnsettled || health.isOnProbation()) {
            return nowMs;
        }
        return running && health.isUnhealthy() ? health.probationDueAtMs() : Double.POSITIVE_INFINITY;
    }
}
