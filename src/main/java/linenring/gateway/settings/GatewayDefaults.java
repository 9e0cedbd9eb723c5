package linenring.gateway.settings;

/** What holds where a gateway's file does not say otherwise, and why. */
final class GatewayDefaults {
    /** A host lost in five is retried entirely. */
    static final String RETRY_BUDGET = "20%";

    /** Longer than any operation's timeout. */
    static final String RETRY_BUDGET_WINDOW = "10s";

    /** One a second where next to nothing comes. */
    static final int MIN_RETRIES = 10;

    /** The deployments' own value. */
    static final double ATTEMPT_OBJECTIVES = 1.2;

    /** The deployments' sidecars have 5 to 8. */
    static final int CONSECUTIVE_FAILURES = 8;

    /** The deployments' sidecars have 2.2 to 7.2 s. */
    static final String EJECTION = "4s";

    /** 4 times 32 streams are more than a host of 4 cores runs. */
    static final int HOST_CONNECTIONS = 4;

    /** The deployments' sidecars have the same. */
    static final int HOST_STREAMS = 32;

    /** Twice what the connections to a host carry may wait for a dial, which takes 1 ms in one network. */
    static final int HOST_WAITERS = 256;

    /** The deployments' keep-alive. */
    static final String HOST_IDLE = "15s";

    /** The deployments' connect timeout. */
    static final String DIAL_TIMEOUT = "250ms";

    /** Far under the time of a host's restart, which takes seconds. */
    static final double MIN_REDIAL_MS = 100;

    /** A host's restart takes seconds. */
    static final double MAX_REDIAL_MS = 5000;

    /** No reason is known. */
    static final int CLIENT_CONNECTIONS = 1024;

    /** No reason is known. */
    static final int CLIENT_STREAMS = 128;

    /** No reason is known. */
    static final int ACTIVE_REQUESTS = 10_000;

    /** Ten times what the supplier's software sends. */
    static final String HEADERS = "16KiB";

    /** Longer than any operation's timeout. */
    static final String CLIENT_IDLE = "60s";

    /** Longer than any operation's timeout. */
    static final String STALL = "10s";

    /** Pings, settings, resets and empty frames of one connection; how the value was chosen is not known. */
    static final int FRAMES_PER_SECOND = 200;

    /** No reason is known. */
    static final String RETAINED = "16KiB";

    /** No reason is known. */
    static final String RETAINED_IN_ALL = "16MiB";

    /** No reason is known. */
    static final String WINDOW = "64KiB";

    /** 4,000 uploads at a time, or 8,000 requests without a body. */
    static final String WINDOWS_IN_ALL = "512MiB";

    /** The collectors' own interval. */
    static final String REPORT = "500ms";

    /** No reason is known. */
    static final String DRAIN = "30s";

    /** A start takes 2 s; a busy machine ten times that. */
    static final String GREET = "20s";

    /** A start takes 2 s; a busy machine ten times that. */
    static final String PREPARE = "30s";

    /** Nobody accepts meanwhile; dials wait in the kernel. */
    static final String TAKE = "5s";

    /** Faults of a new release that end it at once show within seconds. */
    static final String PROBATION = "10s";

    private GatewayDefaults() {}
}
