package linenring.planner;

/** What the planner knows of one host. Times are milliseconds on the planner's clock. */
final class Host {
    /** A host that is in no subset. */
    static final int WITHOUT_SUBSET = -1;

    private final int id;
    private final HostHealth health = new HostHealth();
    private final Outcomes outcomes = new Outcomes();
    private int zone;
    private int kind;
    private double weight = 1;
    private double startedMs = Double.NEGATIVE_INFINITY;
    private boolean running;
    private boolean leaving;
    private boolean listed;
    private boolean released;
    private boolean ejected;
    private int subset = WITHOUT_SUBSET;

    Host(int id) {
        this.id = id;
    }

    /** A place for an id whose host is forgotten and that no other host has yet. */
    static Host released(int id) {
        Host blank = new Host(id);
        blank.released = true;
        return blank;
    }

    int id() {
        return id;
    }

    int zone() {
        return zone;
    }

    /** The kind of machine. */
    int kind() {
        return kind;
    }

    /** The weight that the host list gives it. */
    double weight() {
        return weight;
    }

    double startedMs() {
        return startedMs;
    }

    HostHealth health() {
        return health;
    }

    /** Outcomes of attempts at it, decaying. */
    Outcomes outcomes() {
        return outcomes;
    }

    /** Listed as ready. */
    boolean isRunning() {
        return running;
    }

    /** Named in the list that is being read. */
    boolean isListed() {
        return listed;
    }

    boolean isReleased() {
        return released;
    }

    /** Ejected at the proxies: for its health, because it leaves, or because it is cold in a retry storm. */
    boolean isEjected() {
        return ejected;
    }

    void setEjected(boolean eject) {
        ejected = eject;
    }

    /** The subset of the fleet that it is assigned to, or {@link #WITHOUT_SUBSET}. */
    int subset() {
        return subset;
    }

    void assignTo(int newSubset) {
        subset = newSubset;
    }

    /** Another list is being read, which has not named it yet. */
    void beginList() {
        listed = false;
    }

    /** The list that is being read names it. */
    void markListed() {
        listed = true;
        released = false;
    }

    /** Takes what the list says of it; a weight of 0 or under stands for none given. */
    void update(int newZone, int newKind, double newWeight) {
        markListed();
        zone = newZone;
        kind = newKind;
        weight = newWeight > 0 ? newWeight : 1;
    }

    /** The list says that it is ready. What was seen of an earlier process says nothing about a new one. */
    void markReady(double newStartedMs) {
        if (!running || newStartedMs > startedMs) {
            health.forget();
            outcomes.clear();
        }
        startedMs = newStartedMs;
        running = true;
        leaving = false;
    }

    /** The list says that it drains or is gone; whether proxies know that it is ejected, if it is. */
    void markLeaving(boolean ejectionIsKnown) {
        running = false;
        ejected &= ejectionIsKnown;
        leaving = true;
    }

    /** Whether it drains or is gone and proxies have yet to be notified. */
    boolean mustDrain() {
        return leaving && !ejected;
    }

    /**
     * When time alone may next change what is decided for it: now while it warms up, is judged or waits to be written, and
     * infinity where time changes nothing.
     */
    double nextDueMs(double nowMs, double rampMs) {
        boolean isUnsettled = running && (nowMs - startedMs < rampMs || ejected != health.isUnhealthy());
        if (outcomes.ended() > 0 || mustDrain() || isUnsettled || health.isOnProbation()) {
            return nowMs;
        }
        return running && health.isUnhealthy() ? health.probationDueAtMs() : Double.POSITIVE_INFINITY;
    }
}
