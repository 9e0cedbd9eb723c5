package linenring.scale.catalogue;

import java.util.List;
import linenring.protocol.HostList;

/** What one version of the catalogue changed, or the whole of it at that version; encoded once for all watchers. */
public final class CatalogueChange {
    private final long version;
    private final boolean whole;
    private final List<CatalogueHost> hosts;
    private byte[] encoded, chunk;

    CatalogueChange(long version, boolean whole, List<CatalogueHost> hosts) {
        this.version = version;
        this.whole = whole;
        this.hosts = List.copyOf(hosts);
    }

    public long version() {
        return version;
    }

    public boolean whole() {
        return whole;
    }

    public List<CatalogueHost> hosts() {
        return hosts;
    }

    /** Its JSON, one line with its LF; not to be changed by the caller. */
    synchronized byte[] encoded() {
        if (encoded == null) {
            encoded = CatalogueJson.line(this, 0);
        }
        return encoded;
    }

    /** The same as one chunk of a chunked answer; not to be changed by the caller. */
    synchronized byte[] chunk() {
        if (chunk == null) {
            chunk = CatalogueJson.chunk(encoded());
        }
        return chunk;
    }

    /** As a process that keeps the catalogue's hosts takes it in. */
    public HostList asHostList() {
        return new HostList(
                version,
                whole,
                hosts.stream()
                        .map(h -> new HostList.Entry(
                                h.id(),
                                h.zone(),
                                h.kind(),
                                h.state(),
                                1,
                                h.startedMs() == 0 ? Double.NEGATIVE_INFINITY : h.startedMs(),
                                h.address(),
                                h.rack()))
                        .toList());
    }
}
