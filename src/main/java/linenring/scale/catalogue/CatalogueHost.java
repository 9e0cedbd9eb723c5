package linenring.scale.catalogue;

import linenring.protocol.HostList;

/**
 * One host as listed in the catalogue.
 *
 * @param zone number of the host's zone, from 0
 * @param kind number of the host's machine kind, from 0
 * @param rack number of the host's rack within the zone; the field {@code cell} of the protocol
 * @param service number of the host's service, from 0
 * @param startedMs Unix time of the latest start, in milliseconds; 0 if the host started long ago
 */
public record CatalogueHost(
        String id, String address, int zone, int kind, int rack, int service, HostList.State state, long startedMs) {

    CatalogueHost withState(HostList.State newState) {
        return new CatalogueHost(id, address, zone, kind, rack, service, newState, startedMs);
    }

    CatalogueHost startedAt(long nowMs) {
        return new CatalogueHost(id, address, zone, kind, rack, service, HostList.State.READY, nowMs);
    }

    /** Returns a new host in the place of this one, started at {@code nowMs}. */
    CatalogueHost replacedBy(String newId, long nowMs) {
        return new CatalogueHost(newId, address, zone, kind, rack, service, HostList.State.READY, nowMs);
    }

    /** Whether the host is listed as ready. */
    public boolean isReady() {
        return state == HostList.State.READY;
    }
}
