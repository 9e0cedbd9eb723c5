package linenring.discovery;

import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ByteArrayEndPoint;

/** A discovery agent's connection in memory. The watch reads added bytes at once, or later if they are added as unread. */
final class InMemoryAgent extends ByteArrayEndPoint {
    private final AgentConnection connection;

    /** Connects the serving source with this request. */
    InMemoryAgent(HostWatch watch, ListRequest request) {
        this(watch, watch.state().servingSource(), request);
    }

    InMemoryAgent(HostWatch watch, EndpointSource source, ListRequest request) {
        super(new RecordingScheduler(), 0);
        setGrowOutput(true);
        connection = new AgentConnection(this, Runnable::run, watch, source, request);
        setConnection(connection);
        connection.onOpen();
    }

    /** Connects the serving source with a watch request. */
    static InMemoryAgent connectForWatch(HostWatch watch) {
        return new InMemoryAgent(watch, ListRequest.watchFrom(41));
    }

    /** Connects the serving source with a request for the complete list. */
    static InMemoryAgent connectForCompleteList(HostWatch watch) {
        return new InMemoryAgent(watch, ListRequest.completeList());
    }

    /** Adds bytes that have arrived but that the selector has not read yet. */
    void addUnreadInput(String bytes) {
        addInputAndExecute(bytes);
    }

    /** Reports that no byte has arrived within the idle timeout. */
    boolean expireIdle() {
        return connection.onIdleExpired(new TimeoutException("no byte within the idle timeout"));
    }

    /** Drops the task that would read the bytes; called only for input that is added as unread. */
    @Override
    protected void execute(Runnable task) {
        // without the task the bytes stay unread
    }
}
