package linenring.scale.catalogue;

import java.util.List;
import java.util.stream.IntStream;

/**
 * How the hosts of a catalogue are spread: evenly over zones, racks, kinds and services.
 *
 * @param hosts how many there are at first
 * @param hostsPerRack how many hosts of one zone share a rack
 */
public record CatalogueLayout(int hosts, int zones, int kinds, int services, int hostsPerRack) {
    /** The names that entries carry. */
    public List<String> zoneNames() {
        return IntStream.range(0, zones).mapToObj(CatalogueLayout::zoneName).toList();
    }

    public List<String> kindNames() {
        return IntStream.range(0, kinds).mapToObj(CatalogueLayout::kindName).toList();
    }

    public static String zoneName(int zone) {
        return "zone-" + (zone + 1);
    }

    public static String kindName(int kind) {
        return "m" + (kind + 1);
    }

    public static String serviceName(int service) {
        return "service-" + (service + 1);
    }
}
