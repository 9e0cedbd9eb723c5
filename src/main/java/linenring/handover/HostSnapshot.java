package linenring.handover;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linenring.handover.wire.HandoverProtocol;
import linenring.protocol.HostList;
import linenring.protocol.InvalidEntries;
import linenring.protocol.ServiceScope;

/** The current host list, which is offered to the new process as its initial list. Thread-safe. */
public final class HostSnapshot {
    /** Host states in the order of their numbers in the protocol; the order must not change. */
    private static final List<HostList.State> WIRE_STATES =
            List.of(HostList.State.READY, HostList.State.TERMINATING, HostList.State.GONE);

    private final TreeMap<String, HostList.Entry> entries = new TreeMap<>(); // @GuardedBy("this")
    private ServiceScope scope = ServiceScope.ALL; // @GuardedBy("this")
    private long version; // @GuardedBy("this")

    /** Applies a complete list or a delta. */
    public synchronized void apply(HostList list) {
        if (list.isComplete()) {
            entries.clear();
            scope = list.scope();
        }
        for (HostList.Entry entry : list.entries()) {
            if (entry.state() == HostList.State.GONE) {
                entries.remove(entry.host());
            } else {
                entries.put(entry.host(), entry);
            }
        }
        version = list.version();
    }

    /** Encodes the list for the new process. */
    public synchronized HandoverProtocol.HostList toWire() {
        HandoverProtocol.HostList.Builder list = HandoverProtocol.HostList.newBuilder()
                .setVersion(version)
                .setScoped(!scope.isAll())
                .addAllServices(scope.services());
        entries.values().forEach(entry -> list.addHosts(toWire(entry)));
        return list.build();
    }

    private static HandoverProtocol.Host.Builder toWire(HostList.Entry entry) {
        HandoverProtocol.Host.Builder host = HandoverProtocol.Host.newBuilder()
                .setId(entry.host())
                .setZone(entry.zone())
                .setKind(entry.kind())
                .setState(WIRE_STATES.indexOf(entry.state()))
                .setWeight(entry.weight())
                .setStartedMs(Double.isInfinite(entry.startedMs()) ? 0 : entry.startedMs())
                .setCell(entry.cell());
        return entry.address() == null ? host : host.setAddress(entry.address());
    }

    /**
     * Decodes the list of the old process, which may run another release. A host with values that are invalid in this release
     * is omitted, as if it had not been listed.
     */
    static HostList fromWire(HandoverProtocol.HostList list, int zoneCount, int kindCount) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (HandoverProtocol.Host host : list.getHostsList()) {
            if (isValid(host, zoneCount, kindCount)) {
                entries.add(fromWire(host));
            }
        }
        ServiceScope scope = list.getScoped() ? ServiceScope.of(list.getServicesList()) : ServiceScope.ALL;
        return new HostList(list.getVersion(), true, entries, InvalidEntries.NONE, scope, 0);
    }

    private static boolean isValid(HandoverProtocol.Host host, int zoneCount, int kindCount) {
        return !host.getId().isEmpty()
                && isIndex(host.getState(), WIRE_STATES.size())
                && isIndex(host.getZone(), zoneCount)
                && isIndex(host.getKind(), kindCount)
                && host.getWeight() >= 0;
    }

    private static boolean isIndex(int value, int count) {
        return value >= 0 && value < count;
    }

    private static HostList.Entry fromWire(HandoverProtocol.Host host) {
        return new HostList.Entry(
                host.getId(),
                host.getZone(),
                host.getKind(),
                WIRE_STATES.get(host.getState()),
                host.getWeight(),
                host.getStartedMs() == 0 ? Double.NEGATIVE_INFINITY : host.getStartedMs(),
                host.getAddress().isEmpty() ? null : host.getAddress(),
                host.hasCell() ? host.getCell() : -1);
    }
}
