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
    private static final int NONCE = 9;

    /** Records all messages of the fleet. */
    private static final class RecordingUplink implements Uplink {
        private final List<InboundMessage.Subscribe> joined = new ArrayList<>();
        private final List<Integer> left = new ArrayList<>();
        private final List<InboundMessage> sent = new ArrayList<>();

        @Override
        public void join(int stream, InboundMessage.Subscribe subscribe) {
            joined.add(subscribe);
        }

        @Override
        public void leave(int proxy) {
            left.add(proxy);
        }

        @Override
        public void send(int proxy, InboundMessage message) {
            sent.add(message);
        }

        @Override
        public void report(InboundMessage.LoadReport report) {
            sent.add(report);
        }

        <T extends InboundMessage> List<T> sent(Class<T> kind) {
            return sent.stream().filter(kind::isInstance).map(kind::cast).toList();
        }
    }

    private final RecordingUplink uplink = new RecordingUplink();
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
        fleet.start(uplink);
        return fleet;
    }

    private static ConfigurationUpdate table(int nonce, String... hosts) {
        List<ConfigurationUpdate.TableEntry> lines = Stream.of(hosts)
                .map(host -> new ConfigurationUpdate.TableEntry(host, 1))
                .toList();
        return new ConfigurationUpdate(
                List.of(new ConfigurationUpdate.Part(List.of(), true, lines, null, List.of(), List.of(), nonce)));
    }

    private static ConfigurationUpdate eject(String host) {
        return new ConfigurationUpdate(List.of(new ConfigurationUpdate.Part(
                List.of(), false, List.of(), null, List.of(host), List.of(), ConfigurationUpdate.WITHOUT_NONCE)));
    }

    @Test
    void joinsAllProxiesInTheirZones() {
        fleet(3, 0);
        assertEquals(
                List.of(
                        new InboundMessage.Subscribe(0, 0, 20, true),
                        new InboundMessage.Subscribe(1, 1, 20, true),
                        new InboundMessage.Subscribe(2, 0, 20, true)),
                uplink.joined);
    }

    @Test
    void appliesAndAcknowledgesAnUpdateOnceTheChannelHasDeliveredIt() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.receive(
                0,
                1,
                table(NONCE, "s-1"),
                1000); // 2 entries and an overhead of 4, each 1 ms, and 200 ms of propagation
        fleet.advance(1205.9);
        assertFalse(fleet.proxies().get(0).hasHosts());
        fleet.advance(1206);
        assertTrue(fleet.proxies().get(0).hasHosts());
        assertEquals(
                List.of(new InboundMessage.Acknowledgement(0, NONCE, 206)),
                uplink.sent(InboundMessage.Acknowledgement.class));
    }

    @Test
    void delaysMessagesBehindEarlierOnesInTheChannel() {
        SimulatedFleet fleet = fleet(2, 0);
        fleet.receive(0, 1, table(1, "s-1"), 0);
        fleet.receive(1, 1, table(2, "s-1"), 0);
        fleet.advance(206);
        assertEquals(1, uplink.sent(InboundMessage.Acknowledgement.class).size());
        fleet.advance(212);
        assertEquals(2, uplink.sent(InboundMessage.Acknowledgement.class).size());
    }

    @Test
    void reportsAnUnusableUpdateAndReconnects() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.receive(0, 1, table(NONCE, "s-unheard-of"), 0);
        fleet.advance(300);
        assertEquals(List.of("proxy 0 cannot apply an update: host 's-unheard-of' was never listed"), fleet.faults());
        assertEquals(List.of(0), uplink.left);
        fleet.advance(1000);
        assertEquals(2, uplink.joined.size());
    }

    @Test
    void reconnectsALostStreamAndDropsItsLateUpdates() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.receive(0, 1, table(1, "s-1"), 0);
        fleet.streamLost(0, 1, 100);
        fleet.advance(300);
        assertFalse(fleet.proxies().get(0).hasHosts());
        fleet.advance(700);
        assertEquals(2, uplink.joined.size());
        assertTrue(fleet.proxies().get(0).isJoined());
        assertFalse(fleet.proxies().get(0).isUpdated());
    }

    @Test
    void ignoresTheLateEndOfAnEarlierStream() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.streamLost(0, 1, 0);
        fleet.advance(600);
        fleet.streamLost(0, 1, 700);
        assertTrue(fleet.proxies().get(0).isJoined());
    }

    @Test
    void countsAProxyThatLosesItsLastHost() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.receive(0, 1, eject("s-1"), 0);
        fleet.advance(500);
        assertEquals(0, fleet.timesWithoutHost()); // the proxy had no host before
        fleet.receive(0, 1, table(1, "s-2"), 500);
        fleet.advance(1000);
        assertEquals(0, fleet.timesWithoutHost());
        fleet.receive(0, 1, eject("s-2"), 1000);
        fleet.advance(1500);
        assertEquals(1, fleet.timesWithoutHost());
        assertEquals(List.of("proxy 0 has lost its last host"), fleet.faults());
    }

    @Test
    void sendsReportsAtItsRateForHostsInTables() {
        SimulatedFleet fleet = fleet(4, 100);
        for (int proxy = 0; proxy < 4; proxy++) {
            fleet.receive(proxy, 1, table(1, "s-1", "s-2"), 0);
        }
        for (int nowMs = 0; nowMs <= 10_000; nowMs += 5) {
            fleet.advance(nowMs);
        }
        List<InboundMessage.LoadReport> reports = uplink.sent(InboundMessage.LoadReport.class);
        assertEquals(500, uplink.sent(InboundMessage.RequestRateReport.class).size(), 5);
        assertEquals(500, reports.size(), 20); // no reports are sent before the proxies have tables
        assertTrue(reports.stream().anyMatch(report -> report.host().equals("s-2") && report.zone() == 1));
    }

    @Test
    void reconnectsAllProxiesWithTheirTables() {
        SimulatedFleet fleet = fleet(3, 0);
        for (int proxy = 0; proxy < 3; proxy++) {
            fleet.receive(proxy, 1, table(1, "s-1"), 0);
        }
        fleet.advance(500);
        fleet.rejoinAll(500);
        assertEquals(List.of(0, 1, 2), uplink.left);
        fleet.advance(1000);
        assertEquals(6, uplink.joined.size());
        assertTrue(uplink.joined.subList(3, 6).stream().noneMatch(InboundMessage.Subscribe::isNew));
    }
}
