package linenring.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import linenring.routing.HostRegistry;
import org.junit.jupiter.api.Test;

class SimulatedFleetTest {
    private static final ChannelLimits CHANNEL = new ChannelLimits(1000, 4, 2000, 200, 500);
    private static final int MARK = 9;

    /** Notes what is said. */
    private static final class Noted implements Uplink {
        final List<InboundMessage.Subscribe> joined = new ArrayList<>();
        final List<Integer> left = new ArrayList<>();
        final List<InboundMessage> said = new ArrayList<>();

        @Override
        public void join(int stream, InboundMessage.Subscribe joining) {
            joined.add(joining);
        }

        @Override
        public void leave(int proxy) {
            left.add(proxy);
        }

        @Override
        public void say(int proxy, InboundMessage what) {
            said.add(what);
        }

        @Override
        public void report(InboundMessage.LoadReport sums) {
            said.add(sums);
        }

        <T extends InboundMessage> List<T> said(Class<T> kind) {
            return said.stream().filter(kind::isInstance).map(kind::cast).toList();
        }
    }

    private final Noted noted = new Noted();
    private final HostRegistry hosts = new HostRegistry();

    private SimulatedFleet fleet(int proxies, double reportsPerSecond) {
        hosts.apply(new HostList(
                1,
                true,
                Stream.of("s-1", "s-2")
                        .map(id -> new HostList.Entry(id, 0, 0, HostList.State.READY, 1, 0))
                        .toList()));
        FleetLayout layout =
                new FleetLayout(proxies, List.of("a", "b"), List.of("lookup", "order"), CHANNEL, reportsPerSecond, 20);
        SimulatedFleet fleet = new SimulatedFleet(layout, hosts, new Random(3));
        fleet.start(noted, 0);
        return fleet;
    }

    private static ConfigurationUpdate table(int mark, String... hosts) {
        List<ConfigurationUpdate.TableEntry> lines = Stream.of(hosts)
                .map(h -> new ConfigurationUpdate.TableEntry(h, 1))
                .toList();
        return new ConfigurationUpdate(
                List.of(new ConfigurationUpdate.Part(List.of(), true, lines, null, List.of(), List.of(), mark)));
    }

    private static ConfigurationUpdate eject(String host) {
        return new ConfigurationUpdate(List.of(new ConfigurationUpdate.Part(
                List.of(), false, List.of(), null, List.of(host), List.of(), ConfigurationUpdate.NO_NONCE)));
    }

    @Test
    void allProxiesJoinInTheirZones() {
        fleet(3, 0);
        assertEquals(
                List.of(
                        new InboundMessage.Subscribe(0, 0, 20, true),
                        new InboundMessage.Subscribe(1, 1, 20, true),
                        new InboundMessage.Subscribe(2, 0, 20, true)),
                noted.joined);
    }

    @Test
    void anOrderTakesEffectAndIsAcknowledgedOnceTheChannelHasDeliveredIt() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.ordered(0, 1, table(MARK, "s-1"), 1000); // 2 lines and 4 for the message, 1 ms each, and 200 ms
        fleet.advance(1205.9);
        assertFalse(fleet.proxies().get(0).hasHosts());
        fleet.advance(1206);
        assertTrue(fleet.proxies().get(0).hasHosts());
        assertEquals(
                List.of(new InboundMessage.Acknowledgement(0, MARK, 206)),
                noted.said(InboundMessage.Acknowledgement.class));
    }

    @Test
    void messagesWaitForThoseBeforeThemInTheChannel() {
        SimulatedFleet fleet = fleet(2, 0);
        fleet.ordered(0, 1, table(1, "s-1"), 0);
        fleet.ordered(1, 1, table(2, "s-1"), 0);
        fleet.advance(206);
        assertEquals(1, noted.said(InboundMessage.Acknowledgement.class).size());
        fleet.advance(212);
        assertEquals(2, noted.said(InboundMessage.Acknowledgement.class).size());
    }

    @Test
    void anOrderThatCannotBeUsedIsTold() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.ordered(0, 1, table(MARK, "s-unheard-of"), 0);
        fleet.advance(300);
        assertEquals(List.of("proxy 0 can't use an order: host 's-unheard-of' was never listed"), fleet.faults());
        assertEquals(List.of(0), noted.left);
        fleet.advance(1000);
        assertEquals(2, noted.joined.size());
    }

    @Test
    void aLostStreamIsDialledAgainAndItsLateOrdersAreLost() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.ordered(0, 1, table(1, "s-1"), 0);
        fleet.lost(0, 1, 100);
        fleet.advance(300);
        assertFalse(fleet.proxies().get(0).hasHosts());
        fleet.advance(700);
        assertEquals(2, noted.joined.size());
        assertTrue(fleet.proxies().get(0).isJoined());
        assertFalse(fleet.proxies().get(0).isOrdered());
    }

    @Test
    void theLateEndOfAnEarlierStreamChangesNothing() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.lost(0, 1, 0);
        fleet.advance(600);
        fleet.lost(0, 1, 700);
        assertTrue(fleet.proxies().get(0).isJoined());
    }

    @Test
    void aProxyThatIsLeftWithoutAHostIsCounted() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.ordered(0, 1, eject("s-1"), 0);
        fleet.advance(500);
        assertEquals(0, fleet.timesWithoutHost()); // it had none before
        fleet.ordered(0, 1, table(1, "s-2"), 500);
        fleet.advance(1000);
        assertEquals(0, fleet.timesWithoutHost());
        fleet.ordered(0, 1, eject("s-2"), 1000);
        fleet.advance(1500);
        assertEquals(1, fleet.timesWithoutHost());
        assertEquals(List.of("proxy 0 has no host"), fleet.faults());
    }

    @Test
    void reportsAreMadeAtTheirRateOfHostsThatTablesHold() {
        SimulatedFleet fleet = fleet(4, 100);
        for (int proxy = 0; proxy < 4; proxy++) {
            fleet.ordered(proxy, 1, table(1, "s-1", "s-2"), 0);
        }
        for (int ms = 0; ms <= 10_000; ms += 5) {
            fleet.advance(ms);
        }
        List<InboundMessage.LoadReport> sums = noted.said(InboundMessage.LoadReport.class);
        assertEquals(500, noted.said(InboundMessage.RequestRateReport.class).size(), 5);
        assertEquals(500, sums.size(), 20); // none before the tables are there
        assertTrue(sums.stream().anyMatch(s -> s.host().equals("s-2") && s.zone() == 1));
    }

    @Test
    void aWholeFleetJoinsAnewWithTheTablesItHas() {
        SimulatedFleet fleet = fleet(3, 0);
        for (int proxy = 0; proxy < 3; proxy++) {
            fleet.ordered(proxy, 1, table(1, "s-1"), 0);
        }
        fleet.advance(500);
        fleet.rejoinAll(500);
        assertEquals(List.of(0, 1, 2), noted.left);
        fleet.advance(1000);
        assertEquals(6, noted.joined.size());
        assertTrue(noted.joined.subList(3, 6).stream().noneMatch(InboundMessage.Subscribe::isNew));
    }
}
