package linenring.scale.fleet;

import java.util.List;

/**
 * The proxies of one controller and what they report.
 *
 * @param reportsPerSecond reports of collectors and proxies together
 * @param requestsPerSecond requests to each proxy
 */
public record FleetLayout(
        int proxies,
        List<String> zones,
        List<String> operations,
        ChannelLimits channel,
        double reportsPerSecond,
        double requestsPerSecond) {
    /** Copies the lists, so that the value can't change. */
    public FleetLayout {
        zones = List.copyOf(zones);
        operations = List.copyOf(operations);
    }

    int zoneOf(int proxy) {
        return proxy % zones.size();
    }
}
