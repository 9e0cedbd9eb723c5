package linenring.exchange;

import linenring.message.Order;

/** The way back to one proxy. Neither call waits. */
public interface Stream {
    void write(Order order);

    void close(String why);
}
