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
 * Builds the update that brings one proxy to what the planner has commanded, and records the ejections and restorations that it
 * carries. An update that was built must be sent, or the proxy's stream closed. Owned by the control loop's thread.
 */
final class UpdateBuilder {
    /** At some 40 bytes an entry a part has under half a MiB, which proxies read as one line. */
    private static final int MAX_ENTRIES_OF_PART = 10_000;

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
     * Operations that one table serves alike.
     *
     * @param table null for the one that the proxy holds from before it subscribed
     * @param isReplaced the table is to be sent in full, as it is new to the proxy or was cleared
     */
    private record OperationGroup(PublishedTable table, boolean isReplaced, BitSet operations) {
        Set<Integer> hostsToSend() {
            if (table == null) {
                return Set.of();
            }
            return isReplaced ? table.hosts() : table.changedHosts();
        }

        /** The policies to send, with the operations that each is for. */
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

    /** The update of all that concerns this proxy and has changed since the last one. */
    ConfigurationUpdate build(ProxySession session, int nonce) {
        List<Part> parts = new ArrayList<>();
        List<OperationGroup> groups = groups(session);
        int unusedPolicyEntries = 0;
        for (OperationGroup group : groups) {
            int policies = addTableParts(parts, group);
            unusedPolicyEntries += group.isReplaced() ? group.operations().cardinality() - policies : 0;
        }
        BitSet hosts = hostsToCheck(session, groups);
        List<String> ejected = record(session, hosts.stream().filter(ejectedHosts::contains), EjectionStatus.EJECTED);
        List<String> restored = record(session, hosts.stream().filter(this::isAdmitted), EjectionStatus.NOT_EJECTED);
        boolean replacesTable = groups.stream().anyMatch(OperationGroup::isReplaced);
        // One restoration beyond what the planner counts is no burden, but for drains, which may have just enough room.
        int oneBesideChanges = parts.isEmpty() || !ejected.isEmpty() ? 0 : 1;
        int spareEntries = replacesTable ? unusedPolicyEntries : oneBesideChanges;
        restored.addAll(record(session, unknownHosts(session).limit(spareEntries), EjectionStatus.NOT_EJECTED));
        addToLastPart(parts, ejected, restored, nonce);
        return new ConfigurationUpdate(parts);
    }

    private boolean isAdmitted(int host) {
        return !ejectedHosts.contains(host);
    }

    /** The operations by the table that they are bound to, and by whether it is to be sent in full. */
    private List<OperationGroup> groups(ProxySession session) {
        List<OperationGroup> groups = new ArrayList<>();
        BitSet open = new BitSet();
        open.set(0, operations.size());
        while (!open.isEmpty()) {
            int first = open.nextSetBit(0);
            int number = session.table(first);
            PublishedTable table = number == ProxySession.INHERITED_TABLE ? null : tables.get(number);
            IntPredicate isReplaced =
                    operation -> table != null && (session.isNewlyBound(operation) || table.isCleared());
            boolean firstIsReplaced = isReplaced.test(first);
            BitSet alike = new BitSet();
            open.stream()
                    .filter(operation ->
                            session.table(operation) == number && isReplaced.test(operation) == firstIsReplaced)
                    .forEach(alike::set);
            open.andNot(alike);
            groups.add(new OperationGroup(table, firstIsReplaced, alike));
        }
        return groups;
    }

    // ---- entries and policies

    /** Adds the parts for one table; returns how many policies they have. */
    private int addTableParts(List<Part> parts, OperationGroup group) {
        List<TableEntry> entries = group.hostsToSend().stream()
                .map(host -> new TableEntry(hostIds.name(host), group.table().weight(host)))
                .toList();
        Map<AdmissionPolicy, BitSet> policies = group.policiesToSend();
        AdmissionPolicy common = commonPolicy(policies, group.operations());
        if (group.isReplaced() || !entries.isEmpty() || common != null) {
            addEntryParts(parts, group, entries, common);
        }
        if (common == null) {
            policies.forEach((policy, mask) -> parts.add(part(names(mask), false, List.of(), policy)));
        }
        return policies.size();
    }

    /** The policy of all these operations, or null where they differ or not all of them change. */
    private static AdmissionPolicy commonPolicy(Map<AdmissionPolicy, BitSet> policies, BitSet all) {
        if (policies.size() != 1) {
            return null;
        }
        Map.Entry<AdmissionPolicy, BitSet> only = policies.entrySet().iterator().next();
        return only.getValue().equals(all) ? only.getKey() : null;
    }

    private void addEntryParts(
            List<Part> parts, OperationGroup group, List<TableEntry> entries, AdmissionPolicy policy) {
        List<String> names = names(group.operations());
        int from = 0;
        do {
            boolean isFirst = from == 0;
            int end = Math.min(entries.size(), from + MAX_ENTRIES_OF_PART);
            parts.add(part(names, isFirst && group.isReplaced(), entries.subList(from, end), isFirst ? policy : null));
            from = end;
        } while (from < entries.size());
    }

    private static Part part(
            List<String> operations, boolean replacesTable, List<TableEntry> entries, AdmissionPolicy policy) {
        return new Part(
                operations, replacesTable, entries, policy, List.of(), List.of(), ConfigurationUpdate.WITHOUT_NONCE);
    }

    private List<String> names(BitSet mask) {
        boolean isAll = mask.cardinality() == operations.size();
        return isAll ? List.of() : mask.stream().mapToObj(operations::get).toList();
    }

    // ---- ejections

    /** The hosts whose ejection or restoration the proxy may have to learn of now. */
    private BitSet hostsToCheck(ProxySession session, List<OperationGroup> groups) {
        BitSet hosts = new BitSet();
        for (OperationGroup group : groups) {
            group.hostsToSend().stream()
                    .filter(group.table() == null ? host -> false : group.table()::contains)
                    .filter(host -> !group.isReplaced() || ejectedHosts.contains(host) || !isUnknown(session, host))
                    .forEach(hosts::set);
        }
        ejectedHosts
                .changed()
                .filter(host -> isAdmitted(host) || mayHold(session, host))
                .forEach(hosts::set);
        return hosts;
    }

    private boolean mayHold(ProxySession session, int host) {
        return session.mayHoldTable(table -> tables.get(table).mayBeHeld(host));
    }

    private static boolean isUnknown(ProxySession session, int host) {
        return session.ejections().status(host) == EjectionStatus.UNKNOWN;
    }

    /** The hosts in the proxy's tables that others may have ejected there. */
    private IntStream unknownHosts(ProxySession session) {
        return tables.hostsOf(session::uses).filter(host -> isAdmitted(host) && isUnknown(session, host));
    }

    /** The names of those hosts that the proxy is not known to have in this status already; from now on it is. */
    private List<String> record(ProxySession session, IntStream hosts, EjectionStatus status) {
        List<String> names = new ArrayList<>();
        for (int host : hosts.toArray()) {
            if (session.ejections().status(host) != status) {
                names.add(hostIds.name(host));
                session.ejections().set(host, status);
            }
        }
        return names;
    }

    /** The last part takes ejections and the nonce: the proxy acknowledges once it has applied the parts before it too. */
    private static void addToLastPart(List<Part> parts, List<String> ejected, List<String> restored, int nonce) {
        Part last = parts.isEmpty() ? part(List.of(), false, List.of(), null) : parts.remove(parts.size() - 1);
        parts.add(new Part(
                last.operations(), last.replacesTable(), last.entries(), last.admission(), ejected, restored, nonce));
    }
}
