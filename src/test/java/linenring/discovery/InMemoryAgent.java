package linenring.discovery;

import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ByteArrayEndPoint;

/** The agent's end of a connection in memory: bytes are handed in, and read at once or when the watch reads of itself. */
final class InMemoryAgent extends ByteArrayEndPoint {
    private final AgentConnection connection;

    /** At the source that serves, with whatever is requested of it. */
    InMemoryAgent(HostWatch watch, ListRequest request) {
        this(watch, watch.state().serving(), request);
    }

    InMemoryAgent(HostWatch watch, EndpointSource source, ListRequest request) {
        super(new RecordingScheduler(), 0);
        setGrowOutput(true);
        connection = new AgentConnection(this, Runnable::run, watch, source, request);
        setConnection(connection);
        connection.onOpen();
    }

    /** A watch of the source that serves. */
    static InMemoryAgent watched(HostWatch watch) {
        return new InMemoryAgent(watch, ListRequest.watchFrom(41));
    }

    /** A request for the whole list at the source that serves. */
    static InMemoryAgent askedForWholeList(HostWatch watch) {
        return new InMemoryAgent(watch, ListRequest.wholeList());
    }

    /** Bytes that have arrived, and that the selector has not come to yet. */
    void addUnread(String bytes) {
        addInputAndExecute(bytes);
    }

    /** No byte has come for too long. */
    boolean expireIdle() {
        return connection.onIdleExpired(new TimeoutException("the end point saw no byte"));
    }

    /** Only what is added unread is handed to it. */
    @Override
    protected void execute(Runnable task) {
        // not run: nobody learns that bytes are there
    }
}
