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
}
