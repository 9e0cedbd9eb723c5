package linenring.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import linenring.message.Arrival;
import linenring.message.HostList;
import org.junit.jupiter.api.Test;

class ExchangeTest implements Exchange.Taker {
    private final Exchange exchange = new Exchange();
    private final List<Object> taken = new ArrayList<>();

    @Override
    public void arrived(Stream from, Arrival what) {
        taken.add(what);
    }

    @Override
    public void ended(Stream which) {
        taken.add("ended");
    }

    @Override
    public void listed(HostList list) {
        taken.add(list);
    }

    @Test
    void whatIsLeftIsTakenOnceAndInOrder() throws InterruptedException {
        HostList list = new HostList(1, true, List.of());
        exchange.arrived(null, new Arrival.Joining(1, 0, 1, true));
        exchange.listed(list);
        exchange.ended(null);
        assertTrue(exchange.await(0));
        assertEquals(0, exchange.drain(this));
        assertEquals(List.of(new Arrival.Joining(1, 0, 1, true), list, "ended"), taken);
        assertFalse(exchange.await(0));
    }

    @Test
    void aFloodOfSumsIsCutAndCountedAndNothingElseIsLost() {
        for (int i = 0; i < 30_000; i++) {
            exchange.arrived(null, new Arrival.Usage(1, 0, i, 500));
        }
        exchange.arrived(null, new Arrival.Applied(1, 7, 100));
        exchange.ended(null);
        assertEquals(10_000, exchange.drain(this));
        assertEquals(20_002, taken.size());
        assertEquals(0, exchange.drain(this));
    }
}
