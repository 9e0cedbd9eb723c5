package linenring.scale.fleet;

import linenring.message.Arrival;

/** How a fleet's proxies and collectors speak to their steward. Called on the fleet's thread. */
interface Uplink {
    /** Opens a new stream of a proxy, whose number the fleet gives, and says that it joins. */
    void join(int stream, Arrival.Joining joining);

    /** Ends the present stream of a proxy. */
    void leave(int proxy);

    /** Says something on the present stream of a proxy. */
    void say(int proxy, Arrival what);

    /** Reports through the collector of its zone. */
    void report(Arrival.HostSums sums);
}
