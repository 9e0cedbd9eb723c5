package linenring.planner;

/** How urgent a write is: how much of the channel's queue and of a proxy's message limit it may fill. */
enum WritePriority {
    /** Sub-updates and moves. Half of the queue stays free for drains; for the second value no reason is recorded. */
    ORDINARY(0.5, 0.7),
    /** Ejections, restores and cut weights. What is left is for drains; no reason is recorded for the value. */
    URGENT(0.85, 0.85),
    /** Drains and binds of newcomers, which must go before the host stops. */
    DRAIN(1, 1);

    private final double queueShare;
    private final double messageShare;

    WritePriority(double queueShare, double messageShare) {
        this.queueShare = queueShare;
        this.messageShare = messageShare;
    }

    double queueShare() {
        return queueShare;
    }

    /** Share of the messages that one proxy may be sent. */
    double messageShare() {
        return messageShare;
    }
}
