package linenring.handover;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linenring.handover.wire.Wire;
import linenring.protocol.HostList;
import linenring.protocol.InvalidEntries;
import linenring.protocol.ServiceScope;

/** The list of hosts as it was told, changes and all: what the new process begins with. */
public final class HostSnapshot {
    private final TreeMap<String, HostList.Entry> entries = new TreeMap<>();
    private ServiceScope scope = ServiceScope.ALL;
    private long version;

    public synchronized void listed(HostList list) {
        if (list.isComplete()) {
            entries.clear();
            scope = list.scope();
        }
        for (HostList.Entry e : list.entries()) {
            if (e.state() == HostList.State.GONE) {
                entries.remove(e.host());
            } else {
                entries.put(e.host(), e);
            }
        }
        version = list.version();
    }

    /** As it goes to the new process. */
    public synchronized Wire.HostList told() {
        Wire.HostList.Builder list = Wire.HostList.newBuilder()
                .setVersion(version)
                .setScoped(!scope.isAll())
                .addAllServices(scope.services());
        entries.values().forEach(e -> {
            Wire.Host.Builder host = Wire.Host.newBuilder()
                    .setId(e.host())
                    .setZone(e.zone())
                    .setKind(e.kind())
                    .setState(e.state().ordinal())
                    .setWeight(e.weight())
                    .setStartedMs(Double.isInfinite(e.startedMs()) ? 0 : e.startedMs())
                    .setCell(e.cell());
            list.addHosts(e.address() == null ? host : host.setAddress(e.address()));
        });
        return list.build();
    }

    /** As it came from the old one; a host that can't be understood is left out, as one that was never listed. */
    static HostList heard(Wire.HostList told, int zones, int kinds) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (Wire.Host h : told.getHostsList()) {
            boolean understood = !h.getId().isEmpty()
                    && h.getState() < HostList.State.values().length
                    && h.getZone() < zones
                    && h.getKind() < kinds
                    && h.getZone() >= 0
                    && h.getKind() >= 0
                    && h.getState() >= 0
                    && h.getWeight() >= 0;
            if (understood) {
                entries.add(new HostList.Entry(
                        h.getId(),
                        h.getZone(),
                        h.getKind(),
                        HostList.State.values()[h.getState()],
                        h.getWeight(),
                        h.getStartedMs() == 0 ? Double.NEGATIVE_INFINITY : h.getStartedMs(),
                        h.getAddress().isEmpty() ? null : h.getAddress(),
                        h.hasCell() ? h.getCell() : -1));
            }
        }
        ServiceScope scope = told.getScoped() ? ServiceScope.of(told.getServicesList()) : ServiceScope.ALL;
        return new HostList(told.getVersion(), true, entries, InvalidEntries.NONE, scope, 0);
    }
}
