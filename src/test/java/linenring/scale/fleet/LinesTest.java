package linenring.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import linenring.message.Arrival;
import linenring.message.Codec;
import linenring.message.Order;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;

/** What hollow processes write is what a steward reads, and the other way round. */
class LinesTest {
    private static final List<String> ZONES = List.of("a", "b"), OPERATIONS = List.of("lookup", "order");

    private final Codec codec = new Codec(new Names(ZONES, List.of("m1"), OPERATIONS, 9, 4));
    private final OrderReader reader = new OrderReader();

    private Order read(Order order) throws IOException {
        Order read = null;
        List<String> lines =
                new String(codec.order(order), StandardCharsets.UTF_8).lines().toList();
        for (int i = 0; i < lines.size(); i++) {
            byte[] line = lines.get(i).getBytes(StandardCharsets.UTF_8);
            read = reader.line(line, 0, line.length);
            if (i + 1 < lines.size()) {
                assertNull(read);
            }
        }
        return read;
    }

    @Test
    void readsAnOrderOfSeveralPartsAsItWasMade() throws IOException {
        Order order = new Order(List.of(
                new Order.Part(
                        List.of("lookup"),
                        true,
                        List.of(new Order.Line("s-1", 1.5), new Order.Line("s-2", 0)),
                        new Order.Level(0.5, 2),
                        List.of(),
                        List.of(),
                        Order.NO_MARK),
                new Order.Part(List.of(), false, List.of(), null, List.of("s-3"), List.of("s-4", "s-5"), 77)));
        assertEquals(order, read(order));
        assertEquals(order, read(order));
    }

    @Test
    void writesAllThatAStewardIsTold() {
        FleetLayout layout = new FleetLayout(9, ZONES, OPERATIONS, ChannelLimits.ofFleet(9), 10, 20);
        List<Arrival> all = new ArrayList<>(List.of(
                new Arrival.Ping(),
                new Arrival.Collector(1),
                new Arrival.Joining(3, 1, 20, true),
                new Arrival.Applied(3, 77, 310.5),
                new Arrival.Usage(3, 1, 7, 1000),
                new Arrival.HostSums("s-1", 1, 12, 3, 80, 1000)));
        for (Arrival what : all) {
            byte[] line = new ArrivalJson(layout).line(what);
            assertEquals('\n', line[line.length - 1]);
            assertEquals(what, codec.arrival(line, line.length).value());
        }
    }
}
