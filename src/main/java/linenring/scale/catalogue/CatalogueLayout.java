package linenring.scale.catalogue;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The size of a catalogue; hosts are distributed evenly over zones, racks, machine kinds and services.
 *
 * @param hosts number of hosts at the start
 * @param hostsPerRack number of hosts of one zone that share a rack
 */
public record CatalogueLayout(int hosts, int zones, int kinds, int services, int hostsPerRack) {
    /** Returns the names of all zones, as in the catalogue's entries. */
    public List<String> zoneNames() {
        return IntStream.range(0, zones).mapToObj(CatalogueLayout::zoneName).toList();
    }

    /** Returns the names of all machine kinds, as in the catalogue's entries. */
    public List<String> kindNames() {
        return IntStream.range(0, kinds).mapToObj(CatalogueLayout::kindName).toList();
    }

    /** Returns the name of the zone with this number. */
    public static String zoneName(int zone) {
        return "zone-" + (zone + 1);
    }

    /** Returns the name of the machine kind with this number. */
    public static String kindName(int kind) {
        return "m" + (kind + 1);
    }

    /** Returns the name of the service with this number. */
    public static String serviceName(int service) {
        return "service-" + (service + 1);
    }
}
