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

    private static HostList list(boolean isComplete, ServiceScope scope, String id) {
        return new HostList(41, isComplete, List.of(host(id)), InvalidEntries.NONE, scope, 0);
    }

    @Test
    void carriesTheScopeOfTheList() throws Exception {
        ServiceScope scope = ServiceScope.of(List.of("svc-1"));
        HostSnapshot snapshot = new HostSnapshot();
        snapshot.apply(list(true, scope, "s-1"));
        snapshot.apply(list(false, scope, "s-2"));
        HostList received = HostSnapshot.fromWire(
                HandoverProtocol.HostList.parseFrom(snapshot.toWire().toByteArray()), 1, 1);
        assertEquals(scope, received.scope());
        assertEquals(2, received.entries().size());
        ServiceScope emptyScope = ServiceScope.of(List.of());
        snapshot.apply(list(true, emptyScope, "s-3"));
        assertEquals(emptyScope, HostSnapshot.fromWire(snapshot.toWire(), 1, 1).scope());
        snapshot.apply(list(true, ServiceScope.ALL, "s-1"));
        assertEquals(
                ServiceScope.ALL, HostSnapshot.fromWire(snapshot.toWire(), 1, 1).scope());
    }

    @Test
    void readsAListOfAReleaseWithoutScopesAsOneOfAllServices() {
        HandoverProtocol.HostList listWithoutScope =
                HandoverProtocol.HostList.newBuilder().setVersion(7).build();
        assertEquals(
                ServiceScope.ALL, HostSnapshot.fromWire(listWithoutScope, 1, 1).scope());
    }
}
