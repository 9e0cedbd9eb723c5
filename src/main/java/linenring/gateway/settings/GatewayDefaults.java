package linenring.gateway.settings;

/** Default values of a gateway's settings. */
final class GatewayDefaults {
    /** Retry budget as a fraction of first attempts; it covers all requests of one lost host in five. */
    static final String RETRY_BUDGET_SHARE = "20%";

    /** Sliding window of the retry budget; longer than the timeout of any operation. */
    static final String RETRY_BUDGET_WINDOW = "10s";

    /**
     * Number of retries that each window of the retry budget always allows: 1 per second at a very low request rate.
     */
    static final int MIN_RETRIES_PER_WINDOW = 10;

    /**
     * Timeout of an attempt that can be retried, as a multiple of the latency objective; the deployments use this
     * value.
     */
    static final double ATTEMPT_TIMEOUT_OBJECTIVES = 1.2;

    /** Number of consecutive failures that eject a host; the deployments' sidecars use 5 to 8. */
    static final int FAILURES_TO_EJECT = 8;

    /** Duration of an outlier ejection; the deployments' sidecars use 2.2 to 7.2 s. */
    static final String EJECTION_TIME = "4s";

    /** Maximum number of connections to a host; 4 times 32 streams exceed the concurrency of a host with 4 cores. */
    static final int MAX_CONNECTIONS_PER_HOST = 4;

    /** Maximum number of streams on a connection to a host; the deployments' sidecars use the same value. */
    static final int MAX_STREAMS_PER_HOST_CONNECTION = 32;

    /**
     * Maximum number of requests that wait for a connection to a host: twice the number of streams of all connections.
     * A dial takes 1 ms within one network.
     */
    static final int MAX_WAITERS_PER_HOST = 256;

    /** Time after which an idle connection to a host is closed; the keep-alive time of the deployments. */
    static final String HOST_IDLE_TIMEOUT = "15s";

    /** Timeout for opening a connection to a host; the connect timeout of the deployments. */
    static final String DIAL_TIMEOUT = "250ms";

    /** Backoff after the first failed dial, in ms; much shorter than the restart of a host, which takes seconds. */
    static final double MIN_REDIAL_MS = 100;

    /** Maximum backoff after failed dials, in ms; the restart of a host takes seconds. */
    static final double MAX_REDIAL_MS = 5000;

    /** Maximum number of connections of all clients. */
    static final int MAX_CLIENT_CONNECTIONS = 1024;

    /** Maximum number of concurrent streams on one client connection. */
    static final int MAX_STREAMS_PER_CLIENT_CONNECTION = 128;

    /** Maximum number of active requests of all clients. */
    static final int MAX_ACTIVE_REQUESTS = 10_000;

    /** Maximum size of the headers of one request; ten times the size that the supplier's clients send. */
    static final String MAX_HEADER_SIZE = "16KiB";

    /** Time after which an idle client connection is closed; longer than the timeout of any operation. */
    static final String CLIENT_IDLE_TIMEOUT = "60s";

    /** Time without progress after which a stalled answer is ended; longer than the timeout of any operation. */
    static final String MAX_STALL = "10s";

    /** Maximum number of PING, SETTINGS, RST_STREAM and empty frames per second on one client connection. */
    static final int MAX_CONTROL_FRAMES_PER_SECOND = 200;

    /** Maximum size of a request body that is retained for retries. */
    static final String MAX_RETAINED_BODY = "16KiB";

    /** Maximum total size of all request bodies that are retained for retries. */
    static final String MAX_RETAINED_BODIES_TOTAL = "16MiB";

    /** HTTP/2 flow-control window of one stream. */
    static final String STREAM_WINDOW = "64KiB";

    /**
     * Maximum total size of the flow-control windows; enough for 4,000 concurrent uploads or 8,000 requests without a
     * body.
     */
    static final String MAX_STREAM_WINDOWS_TOTAL = "512MiB";

    /** Interval between two load reports to the controller; the interval of the collectors. */
    static final String REPORT_INTERVAL = "500ms";

    /** Time after which a drain ends even if requests are still active. */
    static final String MAX_DRAIN_TIME = "30s";

    /**
     * Timeout for the greeting of the new process in a handover; a start takes 2 s, and ten times that on a busy
     * machine.
     */
    static final String HANDOVER_GREETING_TIMEOUT = "20s";

    /**
     * Timeout for the new process in a handover to become ready to accept connections; a start takes 2 s, and ten times
     * that on a busy machine.
     */
    static final String HANDOVER_PREPARE_TIMEOUT = "30s";

    /**
     * Timeout for the new process in a handover to start accepting connections. Neither process accepts connections
     * during this time, so new connections wait in the kernel.
     */
    static final String HANDOVER_TAKEOVER_TIMEOUT = "5s";

    /**
     * Time in a handover during which the old process takes over again if the new one exits. A new release that fails at
     * its start exits within seconds.
     */
    static final String HANDOVER_PROBATION_TIME = "10s";

    private GatewayDefaults() {}
}
