package linenring.event;

import java.util.ArrayList;
import java.util.List;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;

/** Keeps the events that it takes, in order: messages, host lists, and {@link #ENDED} for the end of a stream. */
public final class RecordingEventHandler implements EventQueue.EventHandler {
    /** Stands for the end of a stream. */
    public static final String ENDED = "ended";

    private final List<Object> taken = new ArrayList<>();

    /** All events so far. */
    public List<Object> taken() {
        return taken;
    }

    /** The host lists; no other event may have come. */
    public List<HostList> lists() {
        List<HostList> lists = new ArrayList<>();
        for (Object event : taken) {
            if (!(event instanceof HostList list)) {
                throw new AssertionError("only host lists are expected, and not " + event);
            }
            lists.add(list);
        }
        return lists;
    }

    /** The versions of the host lists; no other event may have come. */
    public List<Long> versions() {
        return lists().stream().map(HostList::version).toList();
    }

    @Override
    public void onMessage(ProxyStream stream, InboundMessage message) {
        taken.add(message);
    }

    @Override
    public void onStreamClosed(ProxyStream stream) {
        taken.add(ENDED);
    }

    @Override
    public void onHostList(HostList list) {
        taken.add(list);
    }
}
