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
 * A listening socket that a child process shares as its standard input, where the JDK finds it
 * ({@link System#inheritedChannel}). Both then accept from one queue, which lives on whichever of them dies. Linux alone.
 */
public final class InheritedListener {
    /** Columns of /proc/net/tcp, and its state of a listening socket. */
    private static final int ADDRESS_COLUMN = 1;

    private static final int STATE_COLUMN = 3;
    private static final int INODE_COLUMN = 9;
    private static final String LISTENING = "0A";
    private static final Pattern BLANKS = Pattern.compile("\\s+");

    private InheritedListener() {}

    /** The listener that this process was started with; it must stay open for as long as anything is logged. */
    public static Optional<ServerSocketChannel> find() throws IOException {
        Channel channel = System.inheritedChannel();
        return channel instanceof ServerSocketChannel listener ? Optional.of(listener) : Optional.empty();
    }

    /** Puts the listener at this process's standard input, from where a child inherits it. */
    public static void share(ServerSocketChannel listener) throws IOException {
        int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        int descriptor = descriptor(port)
                .orElseThrow(() -> new IOException("no descriptor of this process listens at port " + port));
        if (descriptor != 0
                && NativeLibrary.getInstance("c").getFunction("dup2").invokeInt(new Object[] {descriptor, 0}) < 0) {
            throw new IOException("dup2 failed");
        }
    }

    /** By the inode that the kernel lists for the port, as the JDK does not disclose descriptors. */
    private static OptionalInt descriptor(int port) throws IOException {
        String addressEnd = String.format(Locale.ROOT, ":%04X", port);
        for (String table : new String[] {"/proc/self/net/tcp", "/proc/self/net/tcp6"}) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] columns = BLANKS.split(line.trim(), -1);
                boolean isListener = columns.length > INODE_COLUMN
                        && columns[ADDRESS_COLUMN].endsWith(addressEnd)
                        && columns[STATE_COLUMN].equals(LISTENING);
                OptionalInt descriptor =
                        isListener ? descriptorOf("socket:[" + columns[INODE_COLUMN] + "]") : OptionalInt.empty();
                if (descriptor.isPresent()) {
                    return descriptor;
                }
            }
        }
        return OptionalInt.empty();
    }

    private static OptionalInt descriptorOf(String socket) throws IOException {
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
            return false; // closed meanwhile
        }
    }
}
