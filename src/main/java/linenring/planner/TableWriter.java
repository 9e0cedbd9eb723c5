package linenring.planner;

import linenring.planner.Commands.RetryPolicy;

/**
 * Issues all table commands. Each write updates the last written state of the table, reserves channel capacity for
 * each proxy that receives the write, and marks the fleet statistics stale if the set of serving hosts changes.
 */
final class TableWriter {
    private final Commands commands;
    private final FlowControl flow;
    private final TableRegistry registry;
    private final FleetStatistics statistics;
    private final DecisionTime time;

    TableWriter(
            Commands commands,
            FlowControl flow,
            TableRegistry registry,
            FleetStatistics statistics,
            DecisionTime time) {
        this.commands = commands;
        this.flow = flow;
        this.registry = registry;
        this.statistics = statistics;
        this.time = time;
    }

    /** Writes a host's weight to a table unless the table has this weight already; 0 removes the entry. */
    void writeEntry(Host host, EndpointTable table, double weight) {
        if (weight != table.weight(host)) {
            commands.setWeight(table.number(), host.id(), weight);
            table.setWeight(host, weight);
            registry.proxiesUsing(table).forEach(proxy -> flow.reserve(proxy, 1 + extraEntries(host, proxy)));
        }
    }

    /** Number of entries that a table entry of this host takes at the proxy in addition to itself. */
    int extraEntries(Host host, ProxyState proxy) {
        return commands.extraEntriesOfWeight(host.id(), proxy.id());
    }

    /** Ejects the host at all proxies that may hold it, which stops their requests to the host. */
    void eject(Host host) {
        setEjected(host, true);
    }

    /** Ends the ejection of the host, so that proxies send requests to it again. */
    void restore(Host host) {
        setEjected(host, false);
    }

    private void setEjected(Host host, boolean eject) {
        host.setEjected(eject);
        statistics.markStale();
        commands.setEjected(host.id(), eject);
        registry.proxiesHolding(host).forEach(proxy -> flow.reserve(proxy, 1));
        registry.tablesHolding(host).forEach(table -> table.markWritten(time.nowMs()));
    }

    /** Number of entries that it takes to bind the proxy to the table. */
    double entriesOfBind(ProxyState proxy, EndpointTable table, int operationCount) {
        long ejectedHosts = table.members().stream()
                .filter(host -> host.isEjected() && table.holds(host))
                .count();
        return 1
                + table.entryCount()
                + operationCount
                + commands.extraEntriesOfBind(table.number(), proxy.id())
                + ejectedHosts;
    }

    void bind(ProxyState proxy, EndpointTable table, double entries) {
        proxy.bind(table);
        commands.bindProxy(table.number(), table.operations(), proxy.id());
        flow.reserve(proxy, entries);
    }

    /** Clears a table to which no proxy is bound. */
    void clear(EndpointTable table) {
        commands.clearTable(table.number());
    }

    /** Sets the admission ratio of one operation, in the unit that the settings specify, and its retry policy. */
    void writeAdmission(EndpointTable table, int operation, double admissionRatio, RetryPolicy retryPolicy) {
        commands.setAdmission(table.number(), 1 << operation, admissionRatio, retryPolicy);
        registry.proxiesUsing(table).forEach(proxy -> flow.reserve(proxy, 1));
    }
}
