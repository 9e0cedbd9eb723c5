package linenring.event;

import linenring.protocol.ConfigurationUpdate;

/** The stream that carries updates to one proxy. No call blocks. */
public interface ProxyStream {
    /** Sends an update, or queues it to be sent. */
    void write(ConfigurationUpdate update);

    /** Closes the stream; its end is enqueued as an event. The reason goes into the log. */
    void close(String reason);

    /** Its place in the order in which streams were opened, by {@link EventQueue#nextStreamNumber}; 0 where that is not known. */
    default long number() {
        return 0;
    }
}
