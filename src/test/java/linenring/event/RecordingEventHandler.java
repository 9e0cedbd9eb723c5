package linenring.event;

import java.util.ArrayList;
import java.util.List;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;

/** Records the events it receives, in order: messages, host lists, and {@link #STREAM_CLOSED} for the end of a stream. */
public final class RecordingEventHandler implements EventQueue.EventHandler {
    /** Recorded in place of the end of a stream. */
    public static final String STREAM_CLOSED = "ended";

    private final List<Object> events = new ArrayList<>();

    /** Returns all events recorded so far. */
    public List<Object> events() {
        return events;
    }

    /** Returns the recorded host lists; fails if any other event was recorded. */
    public List<HostList> lists() {
        List<HostList> lists = new ArrayList<>();
        for (Object event : events) {
            if (!(event instanceof HostList list)) {
                throw new AssertionError("expected only host lists, but found " + event);
            }
            lists.add(list);
        }
        return lists;
    }

    /** Returns the versions of the recorded host lists; fails if any other event was recorded. */
    public List<Long> versions() {
        return lists().stream().map(HostList::version).toList();
    }

    @Override
    public void onMessage(ProxyStream stream, InboundMessage message) {
        events.add(message);
    }

    @Override
    public void onStreamClosed(ProxyStream stream) {
        events.add(STREAM_CLOSED);
    }

    @Override
    public void onHostList(HostList list) {
        events.add(list);
    }
}
