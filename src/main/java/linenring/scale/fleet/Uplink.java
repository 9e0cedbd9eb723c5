package linenring.scale.fleet;

import linenring.protocol.InboundMessage;

/** How a fleet's proxies and collectors reach their controller. Called on the fleet's thread. */
interface Uplink {
    /** Opens a new stream of a proxy, whose number the fleet gives, and subscribes on it. */
    void join(int stream, InboundMessage.Subscribe subscribe);

    /** Closes the current stream of a proxy. */
    void leave(int proxy);

    /** Sends a message on the current stream of a proxy. */
    void send(int proxy, InboundMessage message);

    /** Sends a report through the collector of its zone. */
    void report(InboundMessage.LoadReport report);
}
