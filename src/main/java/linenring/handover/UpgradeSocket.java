package linenring.handover;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.function.Consumer;
import linenring.log.Log;

/**
 * The Unix-domain socket at which the serving process takes upgrade requests and its successor's greeting, in a directory that
 * nobody but its user may enter. Connections of other users are refused.
 */
final class UpgradeSocket implements AutoCloseable {
    private static final String OWNER_ONLY = "rwx------";

    private final ServerSocketChannel socket;

    private UpgradeSocket(ServerSocketChannel socket) {
        this.socket = socket;
    }

    /** Binds it under this name, in place of one that another process may have had. */
    static UpgradeSocket bind(Path directory, String name) throws IOException {
        Files.createDirectories(
                directory, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
        if (!isPrivate(directory)) {
            throw new IOException(directory + " is not a directory of this user's alone (mode 0700)");
        }
        Path own = directory.resolve(ProcessHandle.current().pid() + ".sock");
        Files.deleteIfExists(own); // of a process that had the same number, and is dead
        ServerSocketChannel socket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        socket.bind(UnixDomainSocketAddress.of(own));
        Files.move(own, directory.resolve(name), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        return new UpgradeSocket(socket);
    }

    private static boolean isPrivate(Path directory) throws IOException {
        return PosixFilePermissions.toString(Files.getPosixFilePermissions(directory))
                        .equals(OWNER_ONLY)
                && Files.getOwner(directory).getName().equals(System.getProperty("user.name"));
    }

    /** Hands over each connection of this user's, until the socket is closed. */
    void acceptAll(Consumer<HandoverChannel> handler, Log log) {
        try {
            while (true) {
                accept(new HandoverChannel(socket.accept()), handler, log);
            }
        } catch (IOException closed) {
            // retired
        }
    }

    /** A peer that ends at this very moment ends nothing but its own connection. */
    private static void accept(HandoverChannel channel, Consumer<HandoverChannel> handler, Log log) {
        try {
            if (channel.isOfSameUser()) {
                handler.accept(channel);
                return;
            }
            log.warn("upgrade", "a connection of another user is rejected");
        } catch (IOException | RuntimeException failure) {
            log.warn("upgrade", "the user of a connection cannot be determined: " + failure.getMessage());
        }
        channel.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
