package linenring.discovery;

import static linenring.discovery.AgentMessages.HEAD;
import static linenring.discovery.AgentMessages.chunk;
import static linenring.discovery.AgentMessages.host;
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

/** Discovery moves to another address while the old one still sends changes; over loopback. */
class DiscoveryMoveTest extends WatchFixture {
    /**
     * The old address has written a drain, which counts as delivered from then on, and the new one, which lags, sends before
     * that is read. Which of the two sockets is read first is the selector's choice: hence several rounds.
     */
    @Test
    void appliesWhatTheOldAddressHadWrittenBeforeTheNewOneDelivers() throws Exception {
        for (int round = 0; round < 12; round++) {
            moveWithAnUnreadChange();
        }
    }

    private void moveWithAnUnreadChange() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = dialling(oldAgent);
            try (Socket old = accept(oldAgent, 41)) {
                write(old, HEAD + change(42));
                awaitVersion(42);
                watch.moveTo(address(newAgent), ServiceScope.ALL);
                try (Socket moved = accept(newAgent, 42)) {
                    SelectorHold.during(watch, hold -> {
                        write(old, change(43));
                        write(moved, HEAD + chunk("\n"));
                        TimeUnit.MILLISECONDS.sleep(5); // loopback: both have arrived, and wait to be read
                    });
                    assertEquals(-1, old.getInputStream().read(), "the old address is left");
                    awaitVersion(43);
                }
            } finally {
                watch.stop(); // its thread is needed for the next round
            }
        }
    }

    /** Its connection ends with unread changes in it; the next attempt at the same address requests from the held version. */
    @Test
    void requestsFromTheHeldVersionWhereTheOldAddressBreaksDuringTheMove() throws Exception {
        try (ServerSocket oldAgent = listen();
                ServerSocket newAgent = listen()) {
            HostWatch watch = dialling(oldAgent);
            try (Socket old = accept(oldAgent, 41)) {
                write(old, HEAD + change(42));
                awaitVersion(42);
            }
            watch.moveTo(address(newAgent), ServiceScope.ALL);
            try (Socket moved = accept(newAgent, 42);
                    Socket again = accept(oldAgent, 42)) { // the new address has sent nothing: the old one still serves
                write(again, HEAD + change(43));
                awaitVersion(43);
                write(moved, HEAD + change(43) + change(44));
                awaitVersion(44); // and 43 is applied once
                assertEquals(-1, again.getInputStream().read());
            }
        }
    }

    private static String change(long version) {
        return chunk(list(version, false, host("Terminating")));
    }
}
