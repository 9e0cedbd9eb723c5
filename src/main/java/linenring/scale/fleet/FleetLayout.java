package linenring.scale.fleet;

import java.util.List;

/**
 * The size of a simulated fleet with one controller, and the load that its proxies report.
 *
 * @param reportsPerSecond total rate of reports by collectors and proxies
 * @param requestsPerSecond request rate of each proxy
 */
public record FleetLayout(
        int proxies,
        List<String> zones,
        List<String> operations,
        ChannelLimits channel,
        double reportsPerSecond,
        double requestsPerSecond) {
    /** Copies the lists, so that the record is immutable. */
    public FleetLayout {
        zones = List.copyOf(zones);
        operations = List.copyOf(operations);
    }

    int zoneOf(int proxy) {
        return proxy % zones.size();
    }
}
