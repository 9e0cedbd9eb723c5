package linenring.protocol;

/** What arrives from proxies and collectors, one value a line. Zones and operations are indices; times are ms. */
public sealed interface InboundMessage {
    /** Asks for a sign of life. */
    record Ping() implements InboundMessage {}

    /** A collector of this zone is there. */
    record Collector(int zone) implements InboundMessage {}

    /** A proxy is there; {@code usual} is about what it is asked a second, {@code fresh}: no order stands at it. */
    record Subscribe(int proxy, int zone, double usual, boolean fresh) implements InboundMessage {}

    /** The proxy has applied all orders up to the mark. */
    record Acknowledgement(int proxy, int mark, double tookMs) implements InboundMessage {}

    /** What the proxies of a zone met at a host, summed up over so long. */
    record LoadReport(String host, int zone, int total, int bad, double meanMs, double spanMs)
            implements InboundMessage {}

    /** What a proxy was asked of one operation. */
    record RequestRateReport(int proxy, int operation, int total, double spanMs) implements InboundMessage {}
}
