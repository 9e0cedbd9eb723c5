package linenring.protocol;

/** A message from a proxy or a collector, one line on the wire. Zones and operations are indices; times are milliseconds. */
public sealed interface InboundMessage {
    /** Asks for a PONG, to see that the controller is alive. */
    record Ping() implements InboundMessage {}

    /** A collector introduces itself: it reports on hosts for the proxies of its zone. */
    record Collector(int zone) implements InboundMessage {}

    /**
     * A proxy asks for its configuration.
     *
     * @param usualRequestsPerSecond the request rate that it usually has
     * @param isNew it holds no configuration yet
     */
    record Subscribe(int proxy, int zone, double usualRequestsPerSecond, boolean isNew) implements InboundMessage {}

    /**
     * A proxy has applied all updates up to the one with this nonce.
     *
     * @param elapsedMs the time from the sending of that update to its application
     */
    record Acknowledgement(int proxy, int nonce, double elapsedMs) implements InboundMessage {}

    /** How the requests of one zone's proxies to a host ended over a period. */
    record LoadReport(String host, int zone, int requests, int failed, double meanLatencyMs, double periodMs)
            implements InboundMessage {}

    /** How many requests of one operation a proxy received over a period. */
    record RequestRateReport(int proxy, int operation, int requests, double periodMs) implements InboundMessage {}
}
