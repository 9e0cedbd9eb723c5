package linenring.handover;

import java.nio.channels.ServerSocketChannel;
import linenring.handover.wire.HandoverProtocol.Offer;

/** What is handed over, as the process that serves does it. No call waits long. */
public interface ServingProcess {
    /** Accepts nothing any more and sends no updates to proxies outside; the listener stays open. */
    void stopAccepting();

    /** Accepts again. */
    void accept();

    /** Has clients go elsewhere; what runs goes on. */
    void drain();

    /** Ends the process once nothing runs. */
    void endWhenDrained();

    /** What the new process begins with. */
    Offer offer();

    /** The listener that both processes share. */
    ServerSocketChannel listener();
}
