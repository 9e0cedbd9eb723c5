package linenring.event;

import linenring.protocol.ConfigurationUpdate;

/** The way back to one proxy. No call waits. */
public interface ProxyStream {
    void write(ConfigurationUpdate order);

    void close(String why);

    /** As the how manieth it was opened, by {@link EventQueue#nextStreamNumber}; 0 where that is not known. */
    default long number() {
        return 0;
    }
}
