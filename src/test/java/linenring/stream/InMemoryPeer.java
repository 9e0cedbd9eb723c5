package linenring.stream;

import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.io.ByteArrayEndPoint;

/** A peer on an in-memory end point. Tasks run on the test's thread, either immediately or when the test runs them. */
final class InMemoryPeer extends ByteArrayEndPoint {
    private final PeerConnection connection;
    private Queue<Runnable> deferredTasks;

    /** Creates a peer that reads all data sent to it. */
    InMemoryPeer(StreamServer server) {
        this(server, 0);
    }

    /** Creates a peer that reads only when the test takes its output, and buffers {@code maxUnreadBytes}; 0 means no limit. */
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

    /** Returns a queue that receives all further tasks, which the test runs itself. */
    Queue<Runnable> deferTasks() {
        deferredTasks = new ArrayDeque<>();
        return deferredTasks;
    }

    InMemoryPeer send(String text) {
        addInput(text);
        return this;
    }

    @Override
    protected void execute(Runnable task) {
        if (deferredTasks == null) {
            task.run();
        } else {
            deferredTasks.add(task);
        }
    }
}
