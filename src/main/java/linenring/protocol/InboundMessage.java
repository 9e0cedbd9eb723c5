package linenring.protocol;

/**
 * A message from a proxy or a collector, one line on the wire. Zones and operations are indices of configured names; times are in
 * milliseconds.
 */
public sealed interface InboundMessage {
    /** Requests a PONG, as a liveness check of the controller. */
    record Ping() implements InboundMessage {}

    /** Identification of a collector, which sends load reports on hosts for the proxies of its zone. */
    record Collector(int zone) implements InboundMessage {}

    /**
     * Identification of a proxy, which subscribes to its configuration.
     *
     * @param usualRequestsPerSecond the proxy's usual request rate
     * @param isNew whether the proxy has no configuration yet
     */
    record Subscribe(int proxy, int zone, double usualRequestsPerSecond, boolean isNew) implements InboundMessage {}

    /**
     * Acknowledgement by a proxy of all updates up to and including the one with this nonce.
     *
     * @param elapsedMs the time between sending that update and its application at the proxy
     */
    record Acknowledgement(int proxy, int nonce, double elapsedMs) implements InboundMessage {}

    /** Load report: the results of the requests that the proxies of one zone sent to a host in a period. */
    record LoadReport(String host, int zone, int requests, int failed, double meanLatencyMs, double periodMs)
            implements InboundMessage {}

    /** Request rate report: the number of requests of one operation that a proxy received in a period. */
    record RequestRateReport(int proxy, int operation, int requests, double periodMs) implements InboundMessage {}
}
