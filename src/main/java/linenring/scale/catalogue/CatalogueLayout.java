package linenring.scale.catalogue;

import java.util.List;
import java.util.stream.IntStream;

/**
 * How the hosts of a catalogue are spread: evenly over zones, racks, kinds and services.
 *
 * @param hosts how many there are at the start
 * @param hostsPerRack how many hosts of one zone share a rack
 */
public record CatalogueLayout(int hosts, int zones, int kinds, int services, int hostsPerRack) {
    /** The names of all zones, as entries carry them. */
    public List<String> zoneNames() {
        return IntStream.range(0, zones).mapToObj(CatalogueLayout::zoneName).toList();
    }

    /** The names of all machine kinds, as entries carry them. */
    public List<String> kindNames() {
        return IntStream.range(0, kinds).mapToObj(CatalogueLayout::kindName).toList();
    }

    /** The name of a zone by its number. */
    public static String zoneName(int zone) {
        return "zone-" + (zone + 1);
    }

    /** The name of a machine kind by its number. */
    public static String kindName(int kind) {
        return "m" + (kind + 1);
    }

    /** The name of a service by its number. */
    public static String serviceName(int service) {
        return "service-" + (service + 1);
    }
}
