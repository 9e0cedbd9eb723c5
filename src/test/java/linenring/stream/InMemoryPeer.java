package linenring.stream;

import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.io.ByteArrayEndPoint;

/** A peer in memory: everything happens on the test's thread, at once or when the test runs it. */
final class InMemoryPeer extends ByteArrayEndPoint {
    private final PeerConnection connection;
    private Queue<Runnable> deferred;

    /** Reads whatever it is sent. */
    InMemoryPeer(StreamServer server) {
        this(server, 0);
    }

    /** Reads only when the test does; {@code maxUnreadBytes} more are taken off the connection, 0 for any number. */
    InMemoryPeer(StreamServer server, int maxUnreadBytes) {
        super(null, 0, new byte[0], maxUnreadBytes);
        setGrowOutput(maxUnreadBytes == 0);
        connection = new PeerConnection(this, Runnable::run, server, 0);
        setConnection(connection);
        connection.onOpen();
    }

    PeerConnection connection() {
        return connection;
    }

    /** From here on what is ready to run waits in the queue that is returned. */
    Queue<Runnable> deferTasks() {
        deferred = new ArrayDeque<>();
        return deferred;
    }

    InMemoryPeer send(String text) {
        addInput(text);
        return this;
    }

    @Override
    protected void execute(Runnable task) {
        if (deferred == null) {
            task.run();
        } else {
            deferred.add(task);
        }
    }
}
