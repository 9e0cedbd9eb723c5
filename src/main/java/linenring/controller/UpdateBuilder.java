package linenring.controller;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.ConfigurationUpdate.AdmissionPolicy;
import linenring.protocol.ConfigurationUpdate.Part;
import linenring.protocol.ConfigurationUpdate.TableEntry;

/**
 * Builds the update that brings one proxy to the configuration commanded by the planner, and records the ejections and
 * restorations in the update as sent. The caller must therefore send each update it builds, or close the proxy's stream. Owned by
 * the control loop's thread.
 */
final class UpdateBuilder {
    /** At about 40 bytes for each entry, a part stays below half a MiB; proxies read a part as one line. */
    private static final int MAX_ENTRIES_PER_PART = 10_000;

    private final List<String> operations;
    private final HostIdAllocator hostIds;
    private final PublishedTables tables;
    private final EjectedHosts ejectedHosts;

    UpdateBuilder(List<String> operations, HostIdAllocator hostIds, PublishedTables tables, EjectedHosts ejectedHosts) {
        this.operations = operations;
        this.hostIds = hostIds;
        this.tables = tables;
        this.ejectedHosts = ejectedHosts;
    }

    /**
     * Operations that are bound to the same table and need the same kind of update, complete or incremental.
     *
     * @param table the table, or null for a table that the proxy already held when it subscribed
     * @param isReplaced whether the complete table must be sent, because it is new to the proxy or was cleared
     */
    private record OperationGroup(PublishedTable table, boolean isReplaced, BitSet operations) {
        Set<Integer> hostsToSend() {
            if (table == null) {
                return Set.of();
            }
            return isReplaced ? table.hosts() : table.changedHosts();
        }

        /** Returns the admission policies to send, each with its operations. */
        Map<AdmissionPolicy, BitSet> policiesToSend() {
            Map<AdmissionPolicy, BitSet> byPolicy = new LinkedHashMap<>();
            operations.stream()
                    .filter(operation -> table != null
                            && table.policy(operation) != null
                            && (isReplaced || table.isPolicyChanged(operation)))
                    .forEach(operation -> byPolicy.computeIfAbsent(table.policy(operation), ignored -> new BitSet())
                            .set(operation));
            return byPolicy;
        }
    }

    /** Builds an update with all changes that affect this proxy since its last update. */
    ConfigurationUpdate build(ProxySession session, int nonce) {
        List<Part> parts = new ArrayList<>();
        List<OperationGroup> groups = groupOperations(session);
        int unusedPolicyEntries = 0;
        for (OperationGroup group : groups) {
            int policies = addTableParts(parts, group);
            unusedPolicyEntries += group.isReplaced() ? group.operations().cardinality() - policies : 0;
        }
        BitSet hosts = hostsToCheck(session, groups);
        List<String> ejected =
                recordStatus(session, hosts.stream().filter(ejectedHosts::isEjected), EjectionStatus.EJECTED);
        List<String> restored =
                recordStatus(session, hosts.stream().filter(this::isNotEjected), EjectionStatus.NOT_EJECTED);
        boolean replacesTable = groups.stream().anyMatch(OperationGroup::isReplaced);
        // An update with changes may carry one restoration that the planner has not counted, as one entry costs
        // little. An update with ejections carries none: a drain may have only just enough room in the channel.
        int uncountedRestorations = parts.isEmpty() || !ejected.isEmpty() ? 0 : 1;
        int spareEntries = replacesTable ? unusedPolicyEntries : uncountedRestorations;
        restored.addAll(
                recordStatus(session, hostsOfUnknownStatus(session).limit(spareEntries), EjectionStatus.NOT_EJECTED));
        addToLastPart(parts, ejected, restored, nonce);
        return new ConfigurationUpdate(parts);
    }

    private boolean isNotEjected(int host) {
        return !ejectedHosts.isEjected(host);
    }

    /** Groups the operations by their table and by whether the complete table must be sent. */
    private List<OperationGroup> groupOperations(ProxySession session) {
        List<OperationGroup> groups = new ArrayList<>();
        BitSet ungrouped = new BitSet();
        ungrouped.set(0, operations.size());
        while (!ungrouped.isEmpty()) {
            int firstOperation = ungrouped.nextSetBit(0);
            int tableNumber = session.table(firstOperation);
            PublishedTable table = tableNumber == ProxySession.INHERITED_TABLE ? null : tables.get(tableNumber);
            IntPredicate isReplaced =
                    operation -> table != null && (session.isNewlyBound(operation) || table.isCleared());
            boolean firstIsReplaced = isReplaced.test(firstOperation);
            BitSet groupMembers = new BitSet();
            ungrouped.stream()
                    .filter(operation ->
                            session.table(operation) == tableNumber && isReplaced.test(operation) == firstIsReplaced)
                    .forEach(groupMembers::set);
            ungrouped.andNot(groupMembers);
            groups.add(new OperationGroup(table, firstIsReplaced, groupMembers));
        }
        return groups;
    }

    /** Adds the parts of an update that concern one table; returns the number of admission policies in these parts. */
    private int addTableParts(List<Part> parts, OperationGroup group) {
        List<TableEntry> entries = group.hostsToSend().stream()
                .map(host -> new TableEntry(hostIds.name(host), group.table().weight(host)))
                .toList();
        Map<AdmissionPolicy, BitSet> policies = group.policiesToSend();
        AdmissionPolicy commonPolicy = commonPolicy(policies, group.operations());
        if (group.isReplaced() || !entries.isEmpty() || commonPolicy != null) {
            addEntryParts(parts, group, entries, commonPolicy);
        }
        if (commonPolicy == null) {
            policies.forEach(
                    (policy, mask) -> parts.add(partWithoutEjections(operationNames(mask), false, List.of(), policy)));
        }
        return policies.size();
    }

    /**
     * Returns the one policy to send for a group of operations, or null if their policies differ or some of them are not due.
     */
    private static AdmissionPolicy commonPolicy(Map<AdmissionPolicy, BitSet> policies, BitSet operations) {
        if (policies.size() != 1) {
            return null;
        }
        Map.Entry<AdmissionPolicy, BitSet> onlyPolicy =
                policies.entrySet().iterator().next();
        return onlyPolicy.getValue().equals(operations) ? onlyPolicy.getKey() : null;
    }

    private void addEntryParts(
            List<Part> parts, OperationGroup group, List<TableEntry> entries, AdmissionPolicy policy) {
        List<String> names = operationNames(group.operations());
        int start = 0;
        do {
            boolean isFirst = start == 0;
            int end = Math.min(entries.size(), start + MAX_ENTRIES_PER_PART);
            parts.add(partWithoutEjections(
                    names, isFirst && group.isReplaced(), entries.subList(start, end), isFirst ? policy : null));
            start = end;
        } while (start < entries.size());
    }

    private static Part partWithoutEjections(
            List<String> operations, boolean replacesTable, List<TableEntry> entries, AdmissionPolicy policy) {
        return new Part(
                operations, replacesTable, entries, policy, List.of(), List.of(), ConfigurationUpdate.WITHOUT_NONCE);
    }

    private List<String> operationNames(BitSet mask) {
        boolean isAll = mask.cardinality() == operations.size();
        return isAll ? List.of() : mask.stream().mapToObj(operations::get).toList();
    }

    /** Returns the hosts whose ejection or restoration may have to be in this update. */
    private BitSet hostsToCheck(ProxySession session, List<OperationGroup> groups) {
        BitSet hosts = new BitSet();
        for (OperationGroup group : groups) {
            group.hostsToSend().stream()
                    .filter(group.table() == null ? host -> false : group.table()::contains)
                    .filter(host ->
                            !group.isReplaced() || ejectedHosts.isEjected(host) || !isStatusUnknown(session, host))
                    .forEach(hosts::set);
        }
        ejectedHosts
                .changedHosts()
                .filter(host -> isNotEjected(host) || mayHoldHost(session, host))
                .forEach(hosts::set);
        return hosts;
    }

    private boolean mayHoldHost(ProxySession session, int host) {
        return session.mayHoldTable(table -> tables.get(table).mayBeHeldByProxy(host));
    }

    private static boolean isStatusUnknown(ProxySession session, int host) {
        return session.ejections().status(host) == EjectionStatus.UNKNOWN;
    }

    /** Returns the hosts in the proxy's tables that another controller may have ejected at the proxy. */
    private IntStream hostsOfUnknownStatus(ProxySession session) {
        return tables.distinctHosts(session::usesTable)
                .filter(host -> isNotEjected(host) && isStatusUnknown(session, host));
    }

    /** Records the status for all given hosts, and returns the names of the hosts whose recorded status has changed. */
    private List<String> recordStatus(ProxySession session, IntStream hosts, EjectionStatus status) {
        List<String> names = new ArrayList<>();
        for (int host : hosts.toArray()) {
            if (session.ejections().status(host) != status) {
                names.add(hostIds.name(host));
                session.ejections().set(host, status);
            }
        }
        return names;
    }

    /**
     * Adds the ejections, restorations and nonce to the last part. A nonce in the last part makes the proxy acknowledge the
     * update only after it has applied all parts.
     */
    private static void addToLastPart(List<Part> parts, List<String> ejected, List<String> restored, int nonce) {
        Part lastPart = parts.isEmpty()
                ? partWithoutEjections(List.of(), false, List.of(), null)
                : parts.remove(parts.size() - 1);
        parts.add(new Part(
                lastPart.operations(),
                lastPart.replacesTable(),
                lastPart.entries(),
                lastPart.admission(),
                ejected,
                restored,
                nonce));
    }
}
