package linenring.planner;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Operation;

/** A table that proxies share, for the operations that are open to the same hosts. */
final class Table {
    private static final int SPARE_LINES = 32;

    /** Mask of its operations; 0 for all. */
    final int operations;
    /** One of them; all are open to the same hosts. */
    final Operation operation;
    /** The zone of the proxies and hosts that it is for, or -1. */
    final int homeZone;

    final int number;
    /** Index of the full table that it stands for, or its own. */
    int base;
    /** The first of the parts that it is made of, or -1. */
    int part = -1;
    /** Of how many parts it is made. */
    int span;
    /** The hosts that may be in it. */
    List<Host> members;

    final Set<Proxy> users = new LinkedHashSet<>();
    /** How many hosts have a line. */
    int length;
    /** Weights as last sent, by host. */
    private double[] weights = {};
    /** When it was last written, in milliseconds. */
    double sentAt = -1e9;
    /** Requests a second of all proxies that it may be for. */
    double load;
    /** Weight of its running hosts. */
    double weightListed;
    /** Weight of those that are not ejected. */
    double weightIn;
    /** Weight of those that are warm, too. */
    double weightWarm;
    /** Weight of those that are not ejected, cold ones by what they can do at least. */
    double weightAble;
    /** Of a slice: the host of its one line, or null. */
    Host owner;
    /** Of a slice: since when it had no owner, in milliseconds. */
    double ownerlessSince;
    /** By operation. */
    final double[] admissionRatio = new double[Integer.SIZE];

    RetryPolicy retryPolicy;

    Table(int number, int operations, Operation operation, int homeZone, int base, List<Host> members) {
        this.number = number;
        this.operations = operations;
        this.operation = operation;
        this.homeZone = homeZone;
        this.base = base;
        this.members = members;
    }

    double weight(Host host) {
        return host.id < weights.length ? weights[host.id] : 0;
    }

    boolean holds(Host host) {
        return weight(host) > 0;
    }

    void setWeight(Host host, double weight) {
        if (host.id >= weights.length) {
            weights = Arrays.copyOf(weights, host.id + SPARE_LINES);
        }
        length += (weight > 0 ? 1 : 0) - (weights[host.id] > 0 ? 1 : 0);
        weights[host.id] = weight;
    }

    void clear() {
        Arrays.fill(weights, 0);
        length = 0;
    }

    boolean isFor(int operation) {
        return operations == 0 || (operations >> operation & 1) != 0;
    }

    boolean isForProxiesOf(int zone) {
        return homeZone < 0 || homeZone == zone;
    }

    boolean hasPart(int part) {
        return this.part < 0 || part >= this.part && part < this.part + span;
    }
}
