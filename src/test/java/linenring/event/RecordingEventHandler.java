package linenring.event;

import java.util.ArrayList;
import java.util.List;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;

/** Keeps what it takes, in order: arrivals, lists, and {@link #ENDED} for each stream's end. */
public final class RecordingEventHandler implements EventQueue.EventHandler {
    public static final String ENDED = "ended";

    private final List<Object> taken = new ArrayList<>();

    public List<Object> taken() {
        return taken;
    }

    /** The lists; nothing else may have come. */
    public List<HostList> lists() {
        List<HostList> lists = new ArrayList<>();
        for (Object what : taken) {
            if (!(what instanceof HostList list)) {
                throw new AssertionError("only lists are expected, and not " + what);
            }
            lists.add(list);
        }
        return lists;
    }

    /** Their versions; nothing else may have come. */
    public List<Long> versions() {
        return lists().stream().map(HostList::version).toList();
    }

    @Override
    public void onMessage(ProxyStream from, InboundMessage what) {
        taken.add(what);
    }

    @Override
    public void onStreamClosed(ProxyStream which) {
        taken.add(ENDED);
    }

    @Override
    public void onHostList(HostList list) {
        taken.add(list);
    }
}
