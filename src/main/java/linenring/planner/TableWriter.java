package linenring.planner;

import linenring.planner.Commands.RetryPolicy;

/**
 * Writes to tables: the only class that issues table commands. Each write changes the table as last written, accounts for what
 * it takes of the channel at each proxy that gets it, and marks the statistics stale where it changes who serves.
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

    /** Sets the weight of a host in a table if it is another; 0 removes the entry. */
    void writeEntry(Host host, EndpointTable table, double weight) {
        if (weight != table.weight(host)) {
            commands.setWeight(table.number(), host.id(), weight);
            table.setWeight(host, weight);
            registry.usersOf(table).forEach(proxy -> flow.reserve(proxy, 1 + extraEntries(host, proxy)));
        }
    }

    /** Entries that one for this host takes at the proxy beyond itself. */
    int extraEntries(Host host, ProxyState proxy) {
        return commands.extraEntriesOfWeight(host.id(), proxy.id());
    }

    /** Stops requests to the host at all proxies that may hold it. */
    void eject(Host host) {
        setEjected(host, true);
    }

    /** Lets requests go to the host again. */
    void restore(Host host) {
        setEjected(host, false);
    }

    private void setEjected(Host host, boolean eject) {
        host.setEjected(eject);
        statistics.markStale();
        commands.setEjected(host.id(), eject);
        registry.holdersOf(host).forEach(proxy -> flow.reserve(proxy, 1));
        registry.holding(host).forEach(table -> table.markWritten(time.nowMs()));
    }

    /** Entries that binding the proxy to the table takes. */
    double entriesOfBind(ProxyState proxy, EndpointTable table, int operations) {
        long ejected = table.members().stream()
                .filter(host -> host.isEjected() && table.holds(host))
                .count();
        return 1 + table.entryCount() + operations + commands.extraEntriesOfBind(table.number(), proxy.id()) + ejected;
    }

    void bind(ProxyState proxy, EndpointTable table, double entries) {
        proxy.bind(table);
        commands.bindProxy(table.number(), table.operations(), proxy.id());
        flow.reserve(proxy, entries);
    }

    /** Clears a table that nobody is bound to. */
    void clear(EndpointTable table) {
        commands.clearTable(table.number());
    }

    /** Sets the admission of one operation, in the unit that the settings name. */
    void writeAdmission(EndpointTable table, int operation, double admission, RetryPolicy retryPolicy) {
        commands.setAdmission(table.number(), 1 << operation, admission, retryPolicy);
        registry.usersOf(table).forEach(proxy -> flow.reserve(proxy, 1));
    }
}
