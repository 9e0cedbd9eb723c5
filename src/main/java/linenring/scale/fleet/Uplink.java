package linenring.scale.fleet;

import linenring.protocol.InboundMessage;

/** How a fleet's proxies and collectors speak to their steward. Called on the fleet's thread. */
interface Uplink {
    /** Opens a new stream of a proxy, whose number the fleet gives, and says that it joins. */
    void join(int stream, InboundMessage.Subscribe joining);

    /** Ends the present stream of a proxy. */
    void leave(int proxy);

    /** Says something on the present stream of a proxy. */
    void say(int proxy, InboundMessage what);

    /** Reports through the collector of its zone. */
    void report(InboundMessage.LoadReport sums);
}
