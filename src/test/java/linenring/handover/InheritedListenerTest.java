package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Finds the descriptor of a listening socket among others of the same process. Guards against an upgrade that hands over the
 * controller's listener in place of the gateway's because both use one port number on two addresses.
 */
class InheritedListenerTest {
    private static final int PAIRS =
            16; // the order in which the kernel lists two sockets depends on their addresses and port

    private static ServerSocketChannel listen(StandardProtocolFamily family, String address, int port)
            throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open(family);
        return listener.bind(new InetSocketAddress(InetAddress.getByName(address), port));
    }

    private static int port(ServerSocketChannel listener) throws IOException {
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    private static OptionalInt descriptorOf(ServerSocketChannel listener) throws IOException {
        return ListeningSockets.descriptorOf((InetSocketAddress) listener.getLocalAddress());
    }

    /** Asserts that both listeners are found and differ, and that a listener is not found any more once it is closed. */
    private static void assertDistinguished(ServerSocketChannel first, ServerSocketChannel second) throws IOException {
        InetSocketAddress firstAddress = (InetSocketAddress) first.getLocalAddress();
        InetSocketAddress secondAddress = (InetSocketAddress) second.getLocalAddress();
        OptionalInt secondDescriptor = descriptorOf(second);
        first.close();
        assertEquals(OptionalInt.empty(), ListeningSockets.descriptorOf(firstAddress), "descriptor of a closed socket");
        assertEquals(secondDescriptor, descriptorOf(second), "descriptor of the other socket");
        second.close();
        assertEquals(
                OptionalInt.empty(), ListeningSockets.descriptorOf(secondAddress), "descriptor of a closed socket");
    }

    @Test
    void distinguishesListenersOfOnePortNumberOnTwoAddresses() throws IOException {
        for (int i = 0; i < PAIRS; i++) {
            for (List<String> addresses :
                    List.of(List.of("127.0.0.1", "127.0.0.2"), List.of("127.0.0.2", "127.0.0.1"))) {
                ServerSocketChannel first = listen(StandardProtocolFamily.INET, addresses.get(0), 0);
                assertDistinguished(first, listen(StandardProtocolFamily.INET, addresses.get(1), port(first)));
            }
        }
    }

    /** A socket of the IPv6 family that is bound to an IPv4 address is listed under its mapped address. */
    @Test
    void distinguishesListenersOfTwoAddressFamilies() throws IOException {
        ServerSocketChannel first = listen(StandardProtocolFamily.INET6, "127.0.0.1", 0);
        ServerSocketChannel second = listen(StandardProtocolFamily.INET6, "::1", port(first));
        assertDistinguished(first, second);
        ServerSocketChannel ipv4 = listen(StandardProtocolFamily.INET, "127.0.0.2", 0);
        assertDistinguished(ipv4, listen(StandardProtocolFamily.INET6, "::1", port(ipv4)));
    }

    @Test
    void findsListenerOfAllAddresses() throws IOException {
        for (StandardProtocolFamily family : StandardProtocolFamily.values()) {
            if (family == StandardProtocolFamily.UNIX) {
                continue;
            }
            ServerSocketChannel wildcard = ServerSocketChannel.open(family).bind(new InetSocketAddress(0));
            ServerSocketChannel other = listen(StandardProtocolFamily.INET, "127.0.0.1", 0);
            assertDistinguished(wildcard, other);
        }
    }
}
