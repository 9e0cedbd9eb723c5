package linenring.scale.catalogue;

import java.util.List;
import linenring.protocol.HostList;

/** A delta that leads to a version of the catalogue, or the complete list at a version; encoded once for all watchers. */
public final class CatalogueChange {
    private final long version;
    private final boolean complete;
    private final List<CatalogueHost> hosts;
    private byte[] encoded; // null until it is first requested
    private byte[] chunk; // null until it is first requested

    CatalogueChange(long version, boolean complete, List<CatalogueHost> hosts) {
        this.version = version;
        this.complete = complete;
        this.hosts = List.copyOf(hosts);
    }

    /** Returns the version that the change leads to. */
    public long version() {
        return version;
    }

    /** Whether the change is a complete list. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the changed hosts, or all hosts of a complete list; removed hosts have the state GONE. */
    public List<CatalogueHost> hosts() {
        return hosts;
    }

    /** Returns the change as one line of JSON with a line feed; callers must not modify the array. */
    synchronized byte[] encoded() {
        if (encoded == null) {
            encoded = CatalogueJson.line(this, 0);
        }
        return encoded;
    }

    /** Returns the encoded change as one chunk of a chunked response; callers must not modify the array. */
    synchronized byte[] chunk() {
        if (chunk == null) {
            chunk = CatalogueJson.chunk(encoded());
        }
        return chunk;
    }

    /** Returns the host list that the codec decodes from this change. */
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
