package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import linenring.handover.wire.HandoverProtocol;
import linenring.protocol.HostList;
import linenring.protocol.InvalidEntries;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

class HostSnapshotTest {
    private static HostList.Entry host(String id) {
        return new HostList.Entry(id, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY);
    }

    private static HostList list(boolean whole, ServiceScope scope, String id) {
        return new HostList(41, whole, List.of(host(id)), InvalidEntries.NONE, scope, 0);
    }

    @Test
    void carriesTheScopeOfTheList() throws Exception {
        ServiceScope one = ServiceScope.of(List.of("svc-1"));
        HostSnapshot snapshot = new HostSnapshot();
        snapshot.apply(list(true, one, "s-1"));
        snapshot.apply(list(false, one, "s-2"));
        HostList received = HostSnapshot.fromWire(
                HandoverProtocol.HostList.parseFrom(snapshot.toWire().toByteArray()), 1, 1);
        assertEquals(one, received.scope());
        assertEquals(2, received.entries().size());
        ServiceScope none = ServiceScope.of(List.of());
        snapshot.apply(list(true, none, "s-3"));
        assertEquals(none, HostSnapshot.fromWire(snapshot.toWire(), 1, 1).scope());
        snapshot.apply(list(true, ServiceScope.ALL, "s-1"));
        assertEquals(
                ServiceScope.ALL, HostSnapshot.fromWire(snapshot.toWire(), 1, 1).scope());
    }

    @Test
    void readsAListOfAReleaseWithoutScopesAsOneOfAllServices() {
        HandoverProtocol.HostList old =
                HandoverProtocol.HostList.newBuilder().setVersion(7).build();
        assertEquals(ServiceScope.ALL, HostSnapshot.fromWire(old, 1, 1).scope());
    }
}
