package linenring.configuration;

import java.net.InetSocketAddress;
import linenring.figures.Names;
import linenring.message.HostList;
import linenring.plan.StartFigures;

/** What one steward is told at its start. {@code known}: the list as it last had it, or null. */
public record Assignment(String name, InetSocketAddress listen, InetSocketAddress discovery, int sockets,
        StartFigures figures, Names names, HostList known) {

    /** Reading came to this: an assignment, or the key at fault and what is wrong with it. */
    public record Outcome(Assignment assignment, String fault) {
        static Outcome fault(String key, String what) {
            return new Outcome(null, key + " " + what);
        }
    }
}
