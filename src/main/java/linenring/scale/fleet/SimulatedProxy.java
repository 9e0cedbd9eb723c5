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

/** A proxy that keeps its tables as ordered and carries no request. Changed on the fleet's thread, read on any. */
public final class SimulatedProxy {
    private static final int NEVER_AVOID = Integer.MAX_VALUE;

    private final int id;
    private final int zone;
    private final HostRegistry hosts;
    private final Tables tables;
    private volatile boolean joined;
    private volatile boolean ordered; // on its present stream
    private volatile boolean served; // it has had a host for each operation
    private int stream; // counts its streams

    SimulatedProxy(int id, int zone, List<String> operations, HostRegistry hosts) {
        this.id = id;
        this.zone = zone;
        this.hosts = hosts;
        tables = new Tables(operations, hosts, Measure.SHARE, NEVER_AVOID, 0);
    }

    public int id() {
        return id;
    }

    int zone() {
        return zone;
    }

    boolean isFresh() {
        return tables.isEmpty();
    }

    public boolean isJoined() {
        return joined;
    }

    /** The number of its stream; what comes of an earlier one is late. */
    int stream() {
        return stream;
    }

    int joins() {
        ordered = false;
        joined = true;
        return ++stream;
    }

    void leaves() {
        joined = false;
        stream++;
    }

    List<Integer> apply(ConfigurationUpdate order) throws UnusableUpdateException {
        List<Integer> nonces = tables.apply(order);
        ordered = true;
        return nonces;
    }

    /** Whether its steward has written to it on its present stream. */
    public boolean isOrdered() {
        return joined && ordered;
    }

    /** Whether it has a host for each operation. */
    public boolean hasHosts() {
        for (int operation = 0; operation < tables.operations().size(); operation++) {
            if (tables.pick(operation, 0, 0.5) == Tables.NONE) {
                return false;
            }
        }
        served = true;
        return true;
    }

    /** Whether it once had a host for each operation. */
    boolean wasServed() {
        return served;
    }

    /** The id of a host by weight, or null where there is none. */
    String pick(int operation, double draw) {
        int host = tables.pick(operation, 0, draw);
        return host == Tables.NONE ? null : hosts.host(host).id();
    }

    /** The ids of the hosts that its table of an operation has and that are not shut out. */
    public Set<String> openHosts(int operation) {
        Set<String> open = new HashSet<>();
        for (int host : new ArrayList<>(tables.weights(operation).keySet())) {
            if (tables.isEligible(operation, host)) {
                open.add(hosts.host(host).id());
            }
        }
        return open;
    }
}
