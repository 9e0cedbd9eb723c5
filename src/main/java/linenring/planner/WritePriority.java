package linenring.planner;

/**
 * Priority of a write: limits the share of the channel's queue and of a proxy's message limit that the write may use.
 */
enum WritePriority {
    /** Sub-updates and moves of proxies between tables. Half of the queue is reserved for drains. */
    ORDINARY(0.5, 0.7),
    /** Ejections, restores and weight reductions. The remaining capacity is reserved for drains. */
    URGENT(0.85, 0.85),
    /** Drains and the first binds of newly joined proxies, which must be delivered before the draining host stops. */
    DRAIN(1, 1);

    private final double maxQueueShare;
    private final double maxMessageShare;

    WritePriority(double maxQueueShare, double maxMessageShare) {
        this.maxQueueShare = maxQueueShare;
        this.maxMessageShare = maxMessageShare;
    }

    /** Share of the channel's queue limit up to which writes of this priority are allowed. */
    double maxQueueShare() {
        return maxQueueShare;
    }

    /** Share of a proxy's message limit up to which writes of this priority are allowed. */
    double maxMessageShare() {
        return maxMessageShare;
    }
}
