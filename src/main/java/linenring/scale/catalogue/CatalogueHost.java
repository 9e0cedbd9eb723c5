package linenring.scale.catalogue;

import linenring.protocol.HostList;

/**
 * One entry of the catalogue.
 *
 * @param zone number of its zone, from 0
 * @param kind number of its machine kind, from 0
 * @param rack number of its rack within the zone; the protocol's {@code cell}
 * @param service number of its service, from 0
 * @param startedMs Unix time of its last start, 0 for long ago
 */
public record CatalogueHost(
        String id, String address, int zone, int kind, int rack, int service, HostList.State state, long startedMs) {

    CatalogueHost withState(HostList.State newState) {
        return new CatalogueHost(id, address, zone, kind, rack, service, newState, startedMs);
    }

    CatalogueHost startedAt(long nowMs) {
        return new CatalogueHost(id, address, zone, kind, rack, service, HostList.State.READY, nowMs);
    }

    /** Another host in its place, started now. */
    CatalogueHost replacedBy(String newId, long nowMs) {
        return new CatalogueHost(newId, address, zone, kind, rack, service, HostList.State.READY, nowMs);
    }

    /** Whether it is listed as ready. */
    public boolean isReady() {
        return state == HostList.State.READY;
    }
}
