package linenring.scale.fleet;

import linenring.protocol.InboundMessage;

/** Carries the messages of a fleet's proxies and collectors to their controller. Called on the fleet's thread. */
interface Uplink {
    /** Opens a new stream of a proxy and subscribes on it; the fleet assigns the stream's number. */
    void join(int stream, InboundMessage.Subscribe subscribe);

    /** Closes a proxy's current stream. */
    void leave(int proxy);

    /** Sends a message on a proxy's current stream. */
    void send(int proxy, InboundMessage message);

    /** Sends a load report through the collector of the report's zone. */
    void report(InboundMessage.LoadReport report);
}
