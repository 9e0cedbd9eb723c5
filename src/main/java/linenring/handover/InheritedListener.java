package linenring.handover;

import com.sun.jna.NativeLibrary;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Pattern;

/**
 * Shares a listening socket with a child process as the child's standard input, where the JDK finds the socket
 * ({@link System#inheritedChannel}). Both processes then accept from one queue, which remains if either process dies. Linux
 * only.
 */
public final class InheritedListener {
    /** Column of the local address in /proc/net/tcp. */
    private static final int ADDRESS_COLUMN = 1;

    /** Column of the socket state in /proc/net/tcp. */
    private static final int STATE_COLUMN = 3;

    /** Column of the socket inode in /proc/net/tcp. */
    private static final int INODE_COLUMN = 9;

    /** State of a listening socket in /proc/net/tcp. */
    private static final String LISTEN_STATE = "0A";

    private static final Pattern WHITESPACE = Pattern.compile("\\s+");

    private InheritedListener() {}

    /**
     * Returns the listener that this process has inherited, if any. The listener must stay open as long as the process logs,
     * since closing it also redirects the standard output to /dev/null.
     */
    public static Optional<ServerSocketChannel> find() throws IOException {
        Channel channel = System.inheritedChannel();
        return channel instanceof ServerSocketChannel listener ? Optional.of(listener) : Optional.empty();
    }

    /** Makes the listener this process's standard input, which child processes inherit. */
    public static void share(ServerSocketChannel listener) throws IOException {
        int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        int descriptor = descriptorOfListener(port)
                .orElseThrow(() -> new IOException("this process has no descriptor that listens on port " + port));
        if (descriptor != 0
                && NativeLibrary.getInstance("c").getFunction("dup2").invokeInt(new Object[] {descriptor, 0}) < 0) {
            throw new IOException("dup2 of the listener to standard input failed");
        }
    }

    /** Finds the descriptor by the socket inode that the kernel lists for the port, as the JDK does not expose descriptors. */
    private static OptionalInt descriptorOfListener(int port) throws IOException {
        String portSuffix = String.format(Locale.ROOT, ":%04X", port);
        for (String table : new String[] {"/proc/self/net/tcp", "/proc/self/net/tcp6"}) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] columns = WHITESPACE.split(line.trim(), -1);
                boolean isListener = columns.length > INODE_COLUMN
                        && columns[ADDRESS_COLUMN].endsWith(portSuffix)
                        && columns[STATE_COLUMN].equals(LISTEN_STATE);
                OptionalInt descriptor =
                        isListener ? descriptorOfSocket("socket:[" + columns[INODE_COLUMN] + "]") : OptionalInt.empty();
                if (descriptor.isPresent()) {
                    return descriptor;
                }
            }
        }
        return OptionalInt.empty();
    }

    private static OptionalInt descriptorOfSocket(String socket) throws IOException {
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(Path.of("/proc/self/fd"))) {
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
