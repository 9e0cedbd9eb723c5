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
 * Unix-domain socket on which the serving process receives upgrade requests and the new process's hello message. The socket is
 * in a directory that only its owner may access, and connections of other users are rejected.
 */
final class UpgradeSocket implements AutoCloseable {
    private static final String OWNER_ONLY = "rwx------";

    private final ServerSocketChannel socket;

    private UpgradeSocket(ServerSocketChannel socket) {
        this.socket = socket;
    }

    /** Binds the socket under this file name, and replaces the socket of an earlier process. */
    static UpgradeSocket bind(Path directory, String name) throws IOException {
        Files.createDirectories(
                directory, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)));
        if (!isPrivate(directory)) {
            throw new IOException("directory " + directory + " must belong to this user and have mode 0700");
        }
        Path temporaryPath = directory.resolve(ProcessHandle.current().pid() + ".sock");
        Files.deleteIfExists(temporaryPath); // left by a dead process that had the same process id
        ServerSocketChannel socket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        socket.bind(UnixDomainSocketAddress.of(temporaryPath));
        Files.move(
                temporaryPath,
                directory.resolve(name),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
        return new UpgradeSocket(socket);
    }

    private static boolean isPrivate(Path directory) throws IOException {
        return PosixFilePermissions.toString(Files.getPosixFilePermissions(directory))
                        .equals(OWNER_ONLY)
                && Files.getOwner(directory).getName().equals(System.getProperty("user.name"));
    }

    /** Passes each connection of the same user to the handler, until the socket is closed. */
    void acceptAll(Consumer<HandoverChannel> handler, Log log) {
        try {
            while (true) {
                accept(new HandoverChannel(socket.accept()), handler, log);
            }
        } catch (IOException closed) {
            // the socket is closed when this process retires
        }
    }

    /** Accepts one connection. A peer that exits at this moment affects only its own connection. */
    private static void accept(HandoverChannel channel, Consumer<HandoverChannel> handler, Log log) {
        try {
            if (channel.belongsToSameUser()) {
                handler.accept(channel);
                return;
            }
            log.warn("upgrade", "rejecting a connection of another user");
        } catch (IOException | RuntimeException failure) {
            log.warn("upgrade", "rejecting a connection whose user cannot be determined: " + failure.getMessage());
        }
        channel.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
