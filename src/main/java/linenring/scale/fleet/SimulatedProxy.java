package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.protocol.ConfigurationUpdate;
import linenring.routing.EndpointTables;
import linenring.routing.HostRegistry;
import linenring.routing.InvalidUpdateException;

/** A proxy that applies updates to its tables but carries no requests. Modified by the fleet's thread, read by any thread. */
public final class SimulatedProxy {
    private static final int NEVER_EJECT = Integer.MAX_VALUE;

    private final int id;
    private final int zone;
    private final HostRegistry hosts;
    private final EndpointTables tables;
    private volatile boolean joined;
    private volatile boolean updated; // whether an update was applied on the current stream
    private volatile boolean hadHosts; // whether the proxy has ever had a host for each operation
    private int stream; // number of the current stream

    SimulatedProxy(int id, int zone, List<String> operations, HostRegistry hosts) {
        this.id = id;
        this.zone = zone;
        this.hosts = hosts;
        tables = new EndpointTables(operations, hosts, AdmissionUnit.SHARE, NEVER_EJECT, 0);
    }

    /** Returns the proxy's id. */
    public int id() {
        return id;
    }

    int zone() {
        return zone;
    }

    /** Whether the proxy has no table from a controller. */
    boolean isNew() {
        return tables.isEmpty();
    }

    /** Whether the proxy has a stream to its controller. */
    public boolean isJoined() {
        return joined;
    }

    /** Returns the number of the current stream; events of streams with lower numbers are outdated. */
    int stream() {
        return stream;
    }

    /** Opens a new stream, and returns its number. */
    int openStream() {
        updated = false;
        joined = true;
        return ++stream;
    }

    void closeStream() {
        joined = false;
        stream++;
    }

    List<Integer> apply(ConfigurationUpdate update) throws InvalidUpdateException {
        List<Integer> nonces = tables.apply(update);
        updated = true;
        return nonces;
    }

    /** Whether the controller has sent the proxy an update on its current stream. */
    public boolean isUpdated() {
        return joined && updated;
    }

    /** Whether the proxy has a host for each operation. */
    public boolean hasHosts() {
        for (int operation = 0; operation < tables.operations().size(); operation++) {
            if (tables.pick(operation, 0, 0.5) == EndpointTables.NONE) {
                return false;
            }
        }
        hadHosts = true;
        return true;
    }

    /** Whether the proxy has ever had a host for each operation. */
    boolean hadHosts() {
        return hadHosts;
    }

    /** Picks a host by weight, and returns its id, or null if the operation has no host. */
    String pick(int operation, double draw) {
        int host = tables.pick(operation, 0, draw);
        return host == EndpointTables.NONE ? null : hosts.host(host).id();
    }

    /** Returns the ids of the hosts in an operation's table that are not ejected. */
    public Set<String> eligibleHosts(int operation) {
        Set<String> eligible = new HashSet<>();
        for (int host : new ArrayList<>(tables.weights(operation).keySet())) {
            if (tables.isEligible(operation, host)) {
                eligible.add(hosts.host(host).id());
            }
        }
        return eligible;
    }
}
