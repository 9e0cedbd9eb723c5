package linenring.planner;

/** What the planner holds of one host. Times are milliseconds on the planner's clock. */
final class Host {
    final int id;
    int zone;
    int kind;
    double weight = 1;
    double started = Double.NEGATIVE_INFINITY;
    /** Listed as ready. */
    boolean running;
    /** The list says that it drains or is gone. */
    boolean told;
    /** Named in the list that is being read. */
    boolean inList;
    /** Nobody's state: the host that had this id is forgotten, and no other has it yet. */
    boolean released;
    /** Shut out at the proxies. */
    boolean ejected;
    /** To be shut out for its health. */
    boolean unhealthy;
    /** When an unhealthy host is tried again. */
    double retryAt;
    /** Start of the probation's current step, or -1 outside one. */
    double probationSince = -1;
    /** Until then its lateness is not judged. */
    double restUntil;
    /** Failed probations in a row. */
    int consecutiveFailures;
    /** The part of the fleet that it is dealt to, or -1. */
    int part = -1;
    /** The part of its weight that its health allows now. */
    double share = 1;
    /** What its share may grow to by probation. */
    double shareLimit = 1;

    final Outcomes outcomes = new Outcomes();

    Host(int id) {
        this.id = id;
    }

    /** The list that is being read names it. */
    void name() {
        inList = true;
        released = false;
    }

    /** Takes what the list tells of it; a weight of 0 or under stands for none given. */
    void list(int zone, int kind, double weight) {
        name();
        this.zone = zone;
        this.kind = kind;
        this.weight = weight > 0 ? weight : 1;
    }

    /** Whether it drains or is gone and proxies have yet to be told. */
    boolean mustDrain() {
        return told && !ejected;
    }

    /** Its process is a new one: what was seen of the old one tells nothing. */
    void forgetHealth() {
        unhealthy = false;
        share = 1;
        shareLimit = 1;
        probationSince = -1;
        outcomes.scale(0);
    }

    /**
     * When time alone may next change what is decided for it: now while it warms up, is judged or waits for an order, and
     * infinity where time changes nothing.
     */
    double nextDue(double now, double warmUpMs) {
        boolean comesIn = running && (now - started < warmUpMs || ejected != unhealthy);
        if (outcomes.ended > 0 || mustDrain() || comesIn || probationSince >= 0) {
            return now;
        }
        return running && unhealthy ? retryAt : Double.POSITIVE_INFINITY;
    }
}
