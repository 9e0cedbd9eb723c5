package linenring.configuration;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import linenring.planner.PlannerSettings;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;
import linenring.settings.Names;

/**
 * What one controller is started with.
 *
 * @param listen where proxies and collectors connect
 * @param discovery where discovery's agent is
 * @param maxSockets limit of the process
 * @param plannerSettings what the decisions depend on
 * @param names zones, machine kinds and operations, by index
 * @param scope the services whose hosts it serves
 * @param knownHosts the host list to begin with, if there is one that can be used
 * @param knownHostsFault what of the configured host list cannot be used, with its key, if anything
 */
public record ControllerConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        int maxSockets,
        PlannerSettings plannerSettings,
        Names names,
        ServiceScope scope,
        Optional<HostList> knownHosts,
        Optional<String> knownHostsFault) {

    /** The same with this host list and this fault of it. */
    public ControllerConfiguration withKnownHosts(Optional<HostList> list, Optional<String> fault) {
        return new ControllerConfiguration(
                name, listen, discovery, maxSockets, plannerSettings, names, scope, list, fault);
    }

    /** The keys under which the other has something else that cannot change while the controller runs. */
    public List<String> fixedKeysThatDiffer(ControllerConfiguration other) {
        List<String> keys = new ArrayList<>();
        addIfDifferent(keys, "name", name, other.name);
        addIfDifferent(keys, "listen", listen, other.listen);
        addIfDifferent(keys, "limits.sockets", maxSockets, other.maxSockets);
        addIfDifferent(keys, "settings", List.of(plannerSettings, names), List.of(other.plannerSettings, other.names));
        return keys;
    }

    private static void addIfDifferent(List<String> keys, String key, Object own, Object others) {
        if (!own.equals(others)) {
            keys.add(key);
        }
    }
}
