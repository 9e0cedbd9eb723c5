package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import linenring.protocol.HostList.State;
import linenring.protocol.InboundMessage;
import linenring.settings.SettingsReader;
import org.junit.jupiter.api.Test;

class ControlLoopTest {
    private static final double START_MS = 1_700_000_000_000.0;

    private final EventQueue eventQueue = new EventQueue();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final List<AppliedConfiguration> proxies = List.of(new AppliedConfiguration(), new AppliedConfiguration());
    private ControlLoop controlLoop;

    private void startControlLoop(String settingsText) {
        ControllerSettings settings = new ControllerSettings(settingsText);
        controlLoop = new ControlLoop(
                SettingsReader.read(settings),
                SettingsReader.names(settings),
                null,
                eventQueue,
                new Log(new PrintStream(logOutput)),
                new Clock(Instant.ofEpochMilli((long) START_MS)));
    }

    private static HostList.Entry entry(int number, State state, double startedMs) {
        return new HostList.Entry("s-" + number, number % 2, 0, state, 1, startedMs);
    }

    private static HostList.Entry readyHost(int number) {
        return entry(number, State.READY, Double.NEGATIVE_INFINITY);
    }

    /**
     * A proxy reconnects before the controller sees the end of its old stream. If that end were attributed to the new stream, the
     * proxy would lose its table.
     */
    @Test
    void lateEndOfAReplacedStreamDisconnectsNoProxy() {
        startControlLoop(ControllerSettings.DEFAULT_TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0))));
        AppliedConfiguration oldStream = proxies.get(0);
        AppliedConfiguration currentStream = proxies.get(1);
        eventQueue.enqueueMessage(oldStream, new InboundMessage.Subscribe(0, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals(1, oldStream.nonces().size());
        eventQueue.enqueueMessage(currentStream, new InboundMessage.Subscribe(0, 0, 1, false));
        eventQueue.enqueueStreamClosed(oldStream);
        controlLoop.runRound(START_MS + 20);
        assertTrue(oldStream.closeReason() != null);
        assertEquals(1, currentStream.nonces().size()); // the proxy is bound again on its new stream
        eventQueue.enqueueHostList(new HostList(2, false, List.of(readyHost(1))));
        for (int round = 3; round < 40; round++) {
            controlLoop.runRound(START_MS + 100 * round);
        }
        assertTrue(currentStream.table("order").containsKey("s-1")); // the new stream still receives changes
        assertFalse(oldStream.table("order").containsKey("s-1"));
    }

    @Test
    void loadReportsOnAnUnlistedHostAddItToNoTable() {
        startControlLoop(ControllerSettings.DEFAULT_TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0))));
        eventQueue.enqueueMessage(proxies.get(0), new InboundMessage.Subscribe(0, 0, 1, true));
        for (int round = 1; round < 60; round++) {
            eventQueue.enqueueMessage(proxies.get(1), new InboundMessage.LoadReport("s-9", 0, 50, 50, 0, 500));
            controlLoop.runRound(START_MS + 100 * round);
        }
        assertEquals("[s-0]", proxies.get(0).table("order").keySet().toString());
        assertTrue(proxies.get(0).ejected().isEmpty());
    }

    /**
     * Updates to a proxy that acknowledges nothing seem to fill the channel. Drains must nevertheless reach all proxies in time,
     * including the silent one.
     */
    @Test
    void silentProxyLeavesRoomForDrainsAndIsSentThemToo() {
        startControlLoop(ControllerSettings.DEFAULT_TEXT.replace("MostWaiting=1800.0", "MostWaiting=120.0"));
        HostList.Entry[] hosts = new HostList.Entry[20];
        for (int number = 0; number < hosts.length; number++) {
            hosts[number] = readyHost(number);
        }
        controlLoop.onHostList(new HostList(1, true, List.of(hosts)));
        AppliedConfiguration silentProxy = proxies.get(0);
        AppliedConfiguration healthyProxy = proxies.get(1);
        eventQueue.enqueueMessage(silentProxy, new InboundMessage.Subscribe(0, 0, 1, true));
        eventQueue.enqueueMessage(healthyProxy, new InboundMessage.Subscribe(1, 1, 1, true));
        controlLoop.runRound(START_MS + 10);
        for (int number = 0; number < 16; number++) {
            eventQueue.enqueueHostList(new HostList(2 + number, false, List.of(entry(number, State.TERMINATING, 0))));
            for (int round = 0; round < 10; round++) {
                controlLoop.runRound(START_MS + 6000 + 1000 * number + 100 * round);
                eventQueue.enqueueMessage(
                        healthyProxy,
                        new InboundMessage.Acknowledgement(
                                1,
                                healthyProxy.nonces().get(healthyProxy.nonces().size() - 1),
                                100));
            }
            assertTrue(healthyProxy.ejected().contains("s-" + number), "s-" + number);
        }
        assertEquals(healthyProxy.ejected(), silentProxy.ejected());
        assertEquals(healthyProxy.nonces(), silentProxy.nonces()); // the silent proxy is sent no additional table
        assertEquals(null, silentProxy.closeReason());
    }

    /** The planner fails on one entry of a complete list. The host of that entry may be serving and must not be removed. */
    @Test
    void faultAtOneEntryOfAListSkipsItAndRemovesNoUnnamedHost() {
        startControlLoop(ControllerSettings.DEFAULT_TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0), readyHost(1))));
        eventQueue.enqueueHostList(new HostList(2, true, List.of(readyHost(0), entry(1, null, 0), readyHost(2))));
        eventQueue.enqueueMessage(proxies.get(0), new InboundMessage.Subscribe(0, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals("[s-0, s-1, s-2]", proxies.get(0).table("order").keySet().toString());
        assertEquals(
                1,
                logOutput
                        .toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.contains(" ERROR fault "))
                        .count());
    }

    /** Both writing to one proxy and closing its stream throw. The control loop must continue to serve the other proxies. */
    @Test
    void faultInWritingToOneProxyWithholdsNoUpdateFromOthers() {
        startControlLoop(ControllerSettings.DEFAULT_TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0))));
        List<String> closeReasons = new ArrayList<>();
        ProxyStream faultyStream = new ProxyStream() {
            @Override
            public void write(ConfigurationUpdate update) {
                throw new IllegalStateException("simulated fault in write");
            }

            @Override
            public void close(String reason) {
                closeReasons.add(reason);
                throw new IllegalStateException("simulated fault in close");
            }
        };
        // The proxy with the highest request rate is written to first.
        eventQueue.enqueueMessage(faultyStream, new InboundMessage.Subscribe(0, 0, 2, true));
        eventQueue.enqueueMessage(proxies.get(1), new InboundMessage.Subscribe(1, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals("[s-0]", proxies.get(1).table("order").keySet().toString());
        assertEquals(
                List.of("update could not be sent; closing the stream so that the proxy reconnects"), closeReasons);
        // Closing the old stream of this proxy throws as well.
        eventQueue.enqueueMessage(proxies.get(0), new InboundMessage.Subscribe(0, 0, 2, false));
        eventQueue.enqueueHostList(new HostList(2, false, List.of(readyHost(1))));
        for (int round = 1; round < 40; round++) {
            controlLoop.runRound(START_MS + 100 * round); // the control loop still runs rounds after the faults
        }
        assertTrue(proxies.get(0).table("order").containsKey("s-0")
                && proxies.get(1).table("order").containsKey("s-1"));
    }

    /**
     * The planner fails on a subscription. The proxy would wait for a configuration forever; closing its stream makes it
     * reconnect.
     */
    @Test
    void streamIsClosedWhenItsSubscriptionFails() {
        startControlLoop(ControllerSettings.DEFAULT_TEXT);
        // This proxy id is out of range; in production the decoder rejects it.
        eventQueue.enqueueMessage(proxies.get(0), new InboundMessage.Subscribe(99, 0, 1, true));
        eventQueue.enqueueMessage(proxies.get(1), new InboundMessage.Subscribe(1, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals(
                "subscription failed in the controller; closing the stream so that the proxy reconnects",
                proxies.get(0).closeReason());
        assertEquals(null, proxies.get(1).closeReason());
    }
}
