package linenring.handover;

import com.sun.jna.NativeLibrary;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;

/**
 * Shares a listening socket with a child process as the child's standard input, where the JDK finds the socket
 * ({@link System#inheritedChannel}). Both processes then accept from one queue, which remains if either process dies. Linux
 * only.
 */
public final class InheritedListener {
    private InheritedListener() {}

    /**
     * Returns the listener that this process has inherited, if any. The listener must stay open as long as the process logs,
     * since closing it also redirects the standard output to /dev/null.
     */
    public static Optional<ServerSocketChannel> find() throws IOException {
        Channel channel = System.inheritedChannel();
        return channel instanceof ServerSocketChannel listener ? Optional.of(listener) : Optional.empty();
    }

    /** Whether a listener is bound to an address; a port of 0 stands for any port. */
    public static boolean isBoundTo(ServerSocketChannel listener, InetSocketAddress address) throws IOException {
        InetSocketAddress bound = (InetSocketAddress) listener.getLocalAddress();
        InetSocketAddress expected =
                address.getPort() == 0 ? new InetSocketAddress(address.getAddress(), bound.getPort()) : address;
        return ListeningSockets.isSameAddress(bound, expected);
    }

    /**
     * Makes the listener this process's standard input, which child processes inherit.
     *
     * @throws IOException if the listener's descriptor cannot be found or duplicated
     */
    public static void share(ServerSocketChannel listener) throws IOException {
        InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
        int descriptor = ListeningSockets.descriptorOf(address)
                .orElseThrow(() -> new IOException("this process has no descriptor that listens at " + address));
        if (descriptor != 0
                && NativeLibrary.getInstance("c").getFunction("dup2").invokeInt(new Object[] {descriptor, 0}) < 0) {
            throw new IOException("dup2 of the listener to standard input failed");
        }
    }
}
