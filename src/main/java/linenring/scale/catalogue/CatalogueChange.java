package linenring.scale.catalogue;

import java.util.List;
import linenring.protocol.HostList;

/** The changes of one version of the catalogue, or the complete list at that version; encoded once for all watchers. */
public final class CatalogueChange {
    private final long version;
    private final boolean complete;
    private final List<CatalogueHost> hosts;
    private byte[] encoded; // null until it is asked for
    private byte[] chunk; // the same

    CatalogueChange(long version, boolean complete, List<CatalogueHost> hosts) {
        this.version = version;
        this.complete = complete;
        this.hosts = List.copyOf(hosts);
    }

    /** The version that it leads to. */
    public long version() {
        return version;
    }

    /** Whether it is the complete list. */
    public boolean isComplete() {
        return complete;
    }

    /** The hosts that changed, or all of them; those that are gone have that state. */
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

    /** The same as the value that the codec makes of it. */
    public HostList asHostList() {
        return new HostList(
                version,
                complete,
                hosts.stream()
                        .map(host -> new HostList.Entry(
                                host.id(),
                                host.zone(),
                                host.kind(),
                                host.state(),
                                1,
                                host.startedMs() == 0 ? Double.NEGATIVE_INFINITY : host.startedMs(),
                                host.address(),
                                host.rack()))
                        .toList());
    }
}
