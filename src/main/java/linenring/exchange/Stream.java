package linenring.exchange;

import linenring.message.Order;

/** The way back to one proxy. No call waits. */
public interface Stream {
    void write(Order order);

    void close(String why);

    /** As the how manieth it was opened, by {@link Exchange#nextStream}; 0 where that is not known. */
    default long number() {
        return 0;
    }
}
