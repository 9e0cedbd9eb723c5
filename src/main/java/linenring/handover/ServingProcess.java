package linenring.handover;

import java.nio.channels.ServerSocketChannel;
import linenring.handover.wire.HandoverProtocol.Offer;

/** Operations of the serving process in an upgrade. None of the calls blocks for long. */
public interface ServingProcess {
    /** Stops accepting connections and sending updates to external proxies; the listener stays open. */
    void stopAccepting();

    /** Accepts connections again. */
    void accept();

    /** Asks clients to reconnect to another process, while running requests continue. */
    void drain();

    /** Exits the process once all requests have completed. */
    void endWhenDrained();

    /** Returns the offer to the new process, with the current host list. */
    Offer offer();

    /** Returns the listener that both processes share. */
    ServerSocketChannel listener();
}
