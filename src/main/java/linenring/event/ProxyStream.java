package linenring.event;

import linenring.protocol.ConfigurationUpdate;

/** The stream of configuration updates to one proxy. No method blocks. */
public interface ProxyStream {
    /** Sends an update, or queues the update while the peer is not ready to read. */
    void write(ConfigurationUpdate update);

    /** Closes the stream and logs the reason; the end of the stream is enqueued as an event. */
    void close(String reason);

    /** Returns the stream's number from {@link EventQueue#nextStreamNumber}, in opening order; 0 if it is unknown. */
    default long streamNumber() {
        return 0;
    }
}
