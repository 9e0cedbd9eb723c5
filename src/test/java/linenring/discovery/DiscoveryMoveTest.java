package linenring.discovery;

import static linenring.discovery.AgentMessages.RESPONSE_HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.hostInState;
import static linenring.discovery.AgentMessages.list;
import static linenring.discovery.AgentSocket.accept;
import static linenring.discovery.AgentSocket.address;
import static linenring.discovery.AgentSocket.listen;
import static linenring.discovery.AgentSocket.write;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import linenring.protocol.ServiceScope;
import linenring.stream.SelectorHold;
import org.junit.jupiter.api.Test;

/** Discovery moves to another address while the old address still sends deltas. Uses loopback sockets. */
class DiscoveryMoveTest extends WatchFixture {
    /**
     * The old address has written a drain, which discovery counts as delivered, and the new address, which lags, sends before
     * the drain is read. The selector may read either socket first, so the case is repeated.
     */
    @Test
    void appliesWhatTheOldAddressHadWrittenBeforeTheNewOneDelivers() throws Exception {
        for (int round = 0; round < 12; round++) {
            moveWithAnUnreadDelta();
        }
    }

    private void moveWithAnUnreadDelta() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = openWatch(oldAgent);
            try (Socket oldConnection = accept(oldAgent, 41)) {
                write(oldConnection, RESPONSE_HEAD + delta(42));
                awaitVersion(42);
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                try (Socket newConnection = accept(newAgent, 42)) {
                    SelectorHold.during(watch, hold -> {
                        write(oldConnection, delta(43));
                        write(newConnection, RESPONSE_HEAD + chunk("\n"));
                        TimeUnit.MILLISECONDS.sleep(5); // on loopback both lines have arrived by now, unread
                    });
                    assertEquals(
                            -1, oldConnection.getInputStream().read(), "the connection to the old address is closed");
                    awaitVersion(43);
                }
            } finally {
                watch.stop(); // frees the watch's thread for the next round
            }
        }
    }

    /** The old connection closes during the move; the next attempt at the old address requests from the current version. */
    @Test
    void requestsFromTheCurrentVersionWhereTheOldAddressDisconnectsDuringTheMove() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = openWatch(oldAgent);
            try (Socket oldConnection = accept(oldAgent, 41)) {
                write(oldConnection, RESPONSE_HEAD + delta(42));
                awaitVersion(42);
            }
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket newConnection = accept(newAgent, 42);
                    Socket secondOldConnection =
                            accept(oldAgent, 42)) { // the new address has sent nothing, so the old one serves
                write(secondOldConnection, RESPONSE_HEAD + delta(43));
                awaitVersion(43);
                write(newConnection, RESPONSE_HEAD + delta(43) + delta(44));
                awaitVersion(44); // version 43 is applied only once
                assertEquals(-1, secondOldConnection.getInputStream().read());
            }
        }
    }

    private static String delta(long version) {
        return chunk(list(version, false, hostInState("Terminating")));
    }
}
