package linenring.scale.fleet;

import java.util.List;

/**
 * The proxies of one steward and what they report.
 *
 * @param reportsPerSecond lines of collectors and proxies together
 * @param requestsPerSecond what each proxy is asked
 */
public record FleetLayout(
        int proxies,
        List<String> zones,
        List<String> operations,
        ChannelLimits channel,
        double reportsPerSecond,
        double requestsPerSecond) {
    public FleetLayout {
        zones = List.copyOf(zones);
        operations = List.copyOf(operations);
    }

    int zoneOf(int proxy) {
        return proxy % zones.size();
    }
}
