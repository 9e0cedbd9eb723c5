package linenring.handover;

import com.sun.jna.NativeLibrary;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A listening socket that a child process shares as its standard input, where the JDK finds it
 * ({@link System#inheritedChannel}). Both then accept from one queue, which lives on whichever of them dies. Linux alone.
 */
public final class HandoverState {
    private static final String LISTENING = "0A"; // state of /proc/net/tcp

    private HandoverState() {}

    /** The listener that this process was started with, or null; it must stay open for as long as anything is logged. */
    public static ServerSocketChannel listener() throws IOException {
        Channel channel = System.inheritedChannel();
        return channel instanceof ServerSocketChannel s ? s : null;
    }

    /** Puts the listener at this process's standard input, from where a child inherits it. */
    public static void share(ServerSocketChannel listener) throws IOException {
        int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        int descriptor = descriptor(port);
        if (descriptor < 0) {
            throw new IOException("no descriptor of ours listens at port " + port);
        }
        if (descriptor != 0
                && NativeLibrary.getInstance("c").getFunction("dup2").invokeInt(new Object[] {descriptor, 0}) < 0) {
            throw new IOException("dup2 failed");
        }
    }

    /** By the inode that the kernel lists for the port; the JDK does not tell descriptors. */
    private static int descriptor(int port) throws IOException {
        String ends = String.format(":%04X", port);
        for (String table : new String[] {"/proc/self/net/tcp", "/proc/self/net/tcp6"}) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.trim().split("\\s+");
                int descriptor = fields.length > 9 && fields[1].endsWith(ends) && fields[3].equals(LISTENING)
                        ? holding("socket:[" + fields[9] + "]")
                        : -1;
                if (descriptor >= 0) {
                    return descriptor;
                }
            }
        }
        return -1;
    }

    private static int holding(String socket) throws IOException {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(Path.of("/proc/self/fd"))) {
            for (Path p : all) {
                try {
                    if (Files.readSymbolicLink(p).toString().equals(socket)) {
                        return Integer.parseInt(p.getFileName().toString());
                    }
                } catch (IOException e) {
                    // closed meanwhile
                }
            }
        }
        return -1;
    }
}
