package linenring.configuration;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import linenring.settings.Names;

/**
 * What one steward is told at its start. {@code scope}: whose hosts it serves; {@code known}: the list as it last had it, or null; {@code leftOut}:
 * what of that list can't be used, with its key, or null.
 */
public record ControllerConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        int sockets,
        PlannerSettings figures,
        Names names,
        ServiceScope scope,
        HostList known,
        String leftOut) {
    /** The same with this list and what of it can't be used, or null. */
    public ControllerConfiguration withKnown(HostList list, String unusable) {
        return new ControllerConfiguration(name, listen, discovery, sockets, figures, names, scope, list, unusable);
    }

    /** The keys under which the other tells something that can't change while the steward runs. */
    public List<String> fixedKeysThatDiffer(ControllerConfiguration other) {
        List<String> keys = new ArrayList<>();
        differs(keys, "name", name, other.name);
        differs(keys, "listen", listen, other.listen);
        differs(keys, "limits.sockets", sockets, other.sockets);
        differs(keys, "settings", List.of(figures, names), List.of(other.figures, other.names));
        return keys;
    }

    private static void differs(List<String> keys, String key, Object mine, Object others) {
        if (!mine.equals(others)) {
            keys.add(key);
        }
    }

    /**
     * Reading came to this: an assignment, or the key at fault and what is wrong with it; {@code exceedsMemory}: nothing but
     * that the list of hosts has no room in the heap.
     */
    public record Outcome(ControllerConfiguration assignment, String fault, boolean exceedsMemory) {
        static Outcome fault(String key, String what) {
            return new Outcome(null, key + " " + what, false);
        }
    }
}
