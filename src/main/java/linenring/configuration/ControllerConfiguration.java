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
 * The configuration that one controller is started with.
 *
 * @param listen address at which the controller accepts proxies and collectors
 * @param discovery address of the discovery agent
 * @param maxSockets maximum number of open sockets of the process
 * @param plannerSettings settings of the planner
 * @param names names of zones, machine kinds and operations, by index
 * @param scope services whose hosts the controller manages
 * @param knownHosts initial host list; empty if none is configured or the configured one cannot be used
 * @param knownHostsFault description of the parts of the configured host list that cannot be used, with their key, if any
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

    /** Returns a copy with this host list and this description of the list's faults. */
    public ControllerConfiguration withKnownHosts(Optional<HostList> list, Optional<String> fault) {
        return new ControllerConfiguration(
                name, listen, discovery, maxSockets, plannerSettings, names, scope, list, fault);
    }

    /** Returns the keys whose values differ in the other configuration and cannot change while the controller runs. */
    public List<String> changedFixedKeys(ControllerConfiguration other) {
        List<String> keys = new ArrayList<>();
        addIfDifferent(keys, "name", name, other.name);
        addIfDifferent(keys, "listen", listen, other.listen);
        addIfDifferent(keys, "limits.sockets", maxSockets, other.maxSockets);
        addIfDifferent(keys, "settings", List.of(plannerSettings, names), List.of(other.plannerSettings, other.names));
        return keys;
    }

    private static void addIfDifferent(List<String> keys, String key, Object ownValue, Object otherValue) {
        if (!ownValue.equals(otherValue)) {
            keys.add(key);
        }
    }
}
