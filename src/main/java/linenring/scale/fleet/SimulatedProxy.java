package linenring.scale.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;
import linenring.routing.HostRegistry;
import linenring.routing.Tables;
import linenring.routing.UnusableUpdateException;

/** A proxy that applies updates to its tables and carries no request. Changed on the fleet's thread, read on any. */
public final class SimulatedProxy {
    private static final int NEVER_EJECT = Integer.MAX_VALUE;

    private final int id;
    private final int zone;
    private final HostRegistry hosts;
    private final Tables tables;
    private volatile boolean joined;
    private volatile boolean updated; // on its current stream
    private volatile boolean hadHosts; // it has had a host for each operation
    private int stream; // the number of its current stream

    SimulatedProxy(int id, int zone, List<String> operations, HostRegistry hosts) {
        this.id = id;
        this.zone = zone;
        this.hosts = hosts;
        tables = new Tables(operations, hosts, Measure.SHARE, NEVER_EJECT, 0);
    }

    /** Its id. */
    public int id() {
        return id;
    }

    int zone() {
        return zone;
    }

    /** Whether it has no table of a controller. */
    boolean isNew() {
        return tables.isEmpty();
    }

    /** Whether it has a stream. */
    public boolean isJoined() {
        return joined;
    }

    /** The number of its current stream; events of an earlier one are late. */
    int stream() {
        return stream;
    }

    /** Begins a stream; returns its number. */
    int openStream() {
        updated = false;
        joined = true;
        return ++stream;
    }

    void closeStream() {
        joined = false;
        stream++;
    }

    List<Integer> apply(ConfigurationUpdate update) throws UnusableUpdateException {
        List<Integer> nonces = tables.apply(update);
        updated = true;
        return nonces;
    }

    /** Whether its controller has updated it on its current stream. */
    public boolean isUpdated() {
        return joined && updated;
    }

    /** Whether it has a host for each operation. */
    public boolean hasHosts() {
        for (int operation = 0; operation < tables.operations().size(); operation++) {
            if (tables.pick(operation, 0, 0.5) == Tables.NONE) {
                return false;
            }
        }
        hadHosts = true;
        return true;
    }

    /** Whether it once had a host for each operation. */
    boolean hadHosts() {
        return hadHosts;
    }

    /** The id of a host by weight, or null if there is none. */
    String pick(int operation, double draw) {
        int host = tables.pick(operation, 0, draw);
        return host == Tables.NONE ? null : hosts.host(host).id();
    }

    /** The ids of the hosts that its table of an operation has and that are not ejected. */
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
