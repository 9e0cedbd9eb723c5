package linenring.handover;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.OptionalInt;
import java.util.regex.Pattern;

/**
 * Finds the file descriptors of this process's listening sockets, which the JDK does not expose, by the socket inodes that the
 * Linux kernel lists for local addresses in /proc/net/tcp and /proc/net/tcp6.
 */
final class ListeningSockets {
    private static final List<Path> SOCKET_TABLES =
            List.of(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));

    private static final Path DESCRIPTORS = Path.of("/proc/self/fd");

    /** Column of the local address, as IP:PORT in hexadecimal digits. */
    private static final int ADDRESS_COLUMN = 1;

    private static final int STATE_COLUMN = 3;
    private static final int INODE_COLUMN = 9;

    /** State of a listening socket. */
    private static final String LISTEN_STATE = "0A";

    private static final Pattern WHITESPACE = Pattern.compile("\\s+");
    private static final int HEX_RADIX = 16;

    private ListeningSockets() {}

    /**
     * Returns a descriptor of the socket on which this process listens at the address, if there is one. The port alone does
     * not identify a socket, since each address of the machine has ports of its own.
     *
     * @throws IOException if the kernel's tables cannot be read
     */
    static OptionalInt descriptorOf(InetSocketAddress address) throws IOException {
        for (Path table : SOCKET_TABLES) {
            if (!Files.exists(table)) {
                continue; // a kernel without IPv6 has no such table
            }
            for (String line : Files.readAllLines(table)) {
                String[] columns = WHITESPACE.split(line.trim(), -1);
                if (isListenerAt(columns, address)) {
                    OptionalInt descriptor = descriptorOfSocket("socket:[" + columns[INODE_COLUMN] + "]");
                    if (descriptor.isPresent()) {
                        return descriptor;
                    }
                }
            }
        }
        return OptionalInt.empty();
    }

    private static boolean isListenerAt(String[] columns, InetSocketAddress address) throws IOException {
        return columns.length > INODE_COLUMN
                && columns[STATE_COLUMN].equals(LISTEN_STATE)
                && isSameAddress(parseAddress(columns[ADDRESS_COLUMN]), address);
    }

    /**
     * Whether two addresses name the same listening socket. All wildcard addresses with one port do, as the JDK uses the IPv6
     * wildcard address for a socket that was bound to the IPv4 one.
     */
    static boolean isSameAddress(InetSocketAddress left, InetSocketAddress right) {
        boolean areWildcards =
                left.getAddress().isAnyLocalAddress() && right.getAddress().isAnyLocalAddress();
        return left.getPort() == right.getPort()
                && (areWildcards || left.getAddress().equals(right.getAddress()));
    }

    /** Parses an address as the kernel lists it: 32-bit words in the byte order of the machine, then the port. */
    private static InetSocketAddress parseAddress(String text) throws IOException {
        int colon = text.indexOf(':');
        ByteBuffer words = ByteBuffer.wrap(HexFormat.of().parseHex(text.substring(0, colon)));
        ByteBuffer address = ByteBuffer.allocate(words.capacity()).order(ByteOrder.nativeOrder());
        while (words.hasRemaining()) {
            address.putInt(words.getInt());
        }
        int port = Integer.parseInt(text.substring(colon + 1), HEX_RADIX);
        return new InetSocketAddress(InetAddress.getByAddress(address.array()), port);
    }

    private static OptionalInt descriptorOfSocket(String socket) throws IOException {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(DESCRIPTORS)) {
            for (Path descriptor : descriptors) {
                if (pointsTo(descriptor, socket)) {
                    return OptionalInt.of(
                            Integer.parseInt(descriptor.getFileName().toString()));
                }
            }
        }
        return OptionalInt.empty();
    }

    private static boolean pointsTo(Path descriptor, String socket) {
        try {
            return Files.readSymbolicLink(descriptor).toString().equals(socket);
        } catch (IOException failure) {
            return false; // the descriptor has been closed in the meantime
        }
    }
}
