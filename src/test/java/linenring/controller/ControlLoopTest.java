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
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final List<AppliedConfiguration> proxies = List.of(new AppliedConfiguration(), new AppliedConfiguration());
    private ControlLoop controlLoop;

    private void start(String settingsText) {
        ControllerSettings settings = new ControllerSettings(settingsText);
        controlLoop = new ControlLoop(
                SettingsReader.read(settings),
                SettingsReader.names(settings),
                null,
                eventQueue,
                new Log(new PrintStream(logged)),
                new Clock(Instant.ofEpochMilli((long) START_MS)));
    }

    private static HostList.Entry entry(int number, State state, double startedMs) {
        return new HostList.Entry("s-" + number, number % 2, 0, state, 1, startedMs);
    }

    private static HostList.Entry readyHost(int number) {
        return entry(number, State.READY, Double.NEGATIVE_INFINITY);
    }

    /** A proxy dials again before the end of its old stream is seen. Taken as its own, that end would take its table from it. */
    @Test
    void lateEndOfAReplacedStreamDisconnectsNobody() {
        start(ControllerSettings.TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0))));
        AppliedConfiguration old = proxies.get(0);
        AppliedConfiguration current = proxies.get(1);
        eventQueue.enqueueMessage(old, new InboundMessage.Subscribe(0, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals(1, old.nonces().size());
        eventQueue.enqueueMessage(current, new InboundMessage.Subscribe(0, 0, 1, false));
        eventQueue.enqueueStreamClosed(old);
        controlLoop.runRound(START_MS + 20);
        assertTrue(old.closeReason() != null);
        assertEquals(1, current.nonces().size()); // bound anew on its new stream
        eventQueue.enqueueHostList(new HostList(2, false, List.of(readyHost(1))));
        for (int i = 3; i < 40; i++) {
            controlLoop.runRound(START_MS + 100 * i);
        }
        assertTrue(current.table("order").containsKey("s-1")); // and sent changes still
        assertFalse(old.table("order").containsKey("s-1"));
    }

    @Test
    void reportsOnAHostThatWasNeverListedPutItInNoTable() {
        start(ControllerSettings.TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0))));
        eventQueue.enqueueMessage(proxies.get(0), new InboundMessage.Subscribe(0, 0, 1, true));
        for (int i = 1; i < 60; i++) {
            eventQueue.enqueueMessage(proxies.get(1), new InboundMessage.LoadReport("s-9", 0, 50, 50, 0, 500));
            controlLoop.runRound(START_MS + 100 * i);
        }
        assertEquals("[s-0]", proxies.get(0).table("order").keySet().toString());
        assertTrue(proxies.get(0).ejected().isEmpty());
    }

    /** A proxy that acknowledges nothing seems to fill the channel. Drains must reach the others in time all the same, and it too. */
    @Test
    void silentProxyLeavesRoomForDrainsAndGetsThemToo() {
        start(ControllerSettings.TEXT.replace("MostWaiting=1800.0", "MostWaiting=120.0"));
        HostList.Entry[] hosts = new HostList.Entry[20];
        for (int number = 0; number < hosts.length; number++) {
            hosts[number] = readyHost(number);
        }
        controlLoop.onHostList(new HostList(1, true, List.of(hosts)));
        AppliedConfiguration silent = proxies.get(0);
        AppliedConfiguration healthy = proxies.get(1);
        eventQueue.enqueueMessage(silent, new InboundMessage.Subscribe(0, 0, 1, true));
        eventQueue.enqueueMessage(healthy, new InboundMessage.Subscribe(1, 1, 1, true));
        controlLoop.runRound(START_MS + 10);
        for (int number = 0; number < 16; number++) {
            eventQueue.enqueueHostList(new HostList(2 + number, false, List.of(entry(number, State.TERMINATING, 0))));
            for (int i = 0; i < 10; i++) {
                controlLoop.runRound(START_MS + 6000 + 1000 * number + 100 * i);
                eventQueue.enqueueMessage(
                        healthy,
                        new InboundMessage.Acknowledgement(
                                1, healthy.nonces().get(healthy.nonces().size() - 1), 100));
            }
            assertTrue(healthy.ejected().contains("s-" + number), "s-" + number);
        }
        assertEquals(healthy.ejected(), silent.ejected());
        assertEquals(healthy.nonces(), silent.nonces()); // and no table anew when it speaks
        assertEquals(null, silent.closeReason());
    }

    /** The planner fails at one entry of a complete list. The host may serve: it must not go for not being named. */
    @Test
    void faultAtOneEntryOfAListSkipsItAndRemovesNoUnnamedHost() {
        start(ControllerSettings.TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0), readyHost(1))));
        eventQueue.enqueueHostList(new HostList(2, true, List.of(readyHost(0), entry(1, null, 0), readyHost(2))));
        eventQueue.enqueueMessage(proxies.get(0), new InboundMessage.Subscribe(0, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals("[s-0, s-1, s-2]", proxies.get(0).table("order").keySet().toString());
        assertEquals(
                1,
                logged.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.contains(" ERROR fault "))
                        .count());
    }

    /** Writing to one proxy throws, and so does closing its stream. The loop must go on and serve the others. */
    @Test
    void faultInWritingToOneProxyKeepsNothingFromTheOthers() {
        start(ControllerSettings.TEXT);
        controlLoop.onHostList(new HostList(1, true, List.of(readyHost(0))));
        List<String> closed = new ArrayList<>();
        ProxyStream broken = new ProxyStream() {
            @Override
            public void write(ConfigurationUpdate update) {
                throw new IllegalStateException("a fault in writing");
            }

            @Override
            public void close(String reason) {
                closed.add(reason);
                throw new IllegalStateException("a fault in closing");
            }
        };
        eventQueue.enqueueMessage(
                broken, new InboundMessage.Subscribe(0, 0, 2, true)); // the one of most requests: written to first
        eventQueue.enqueueMessage(proxies.get(1), new InboundMessage.Subscribe(1, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals("[s-0]", proxies.get(1).table("order").keySet().toString());
        assertEquals(List.of("can't be written to"), closed);
        eventQueue.enqueueMessage(
                proxies.get(0), new InboundMessage.Subscribe(0, 0, 2, false)); // its old stream can't be closed either
        eventQueue.enqueueHostList(new HostList(2, false, List.of(readyHost(1))));
        for (int i = 1; i < 40; i++) {
            controlLoop.runRound(START_MS + 100 * i); // and the thread goes on
        }
        assertTrue(proxies.get(0).table("order").containsKey("s-0")
                && proxies.get(1).table("order").containsKey("s-1"));
    }

    /** The planner fails at a subscription. The proxy would wait for a configuration for ever; closed, it dials again. */
    @Test
    void proxyWhoseSubscriptionFailsIsClosed() {
        start(ControllerSettings.TEXT);
        eventQueue.enqueueMessage(
                proxies.get(0),
                new InboundMessage.Subscribe(99, 0, 1, true)); // no such proxy: the reader lets none through
        eventQueue.enqueueMessage(proxies.get(1), new InboundMessage.Subscribe(1, 0, 1, true));
        controlLoop.runRound(START_MS + 10);
        assertEquals("its subscription failed", proxies.get(0).closeReason());
        assertEquals(null, proxies.get(1).closeReason());
    }
}
