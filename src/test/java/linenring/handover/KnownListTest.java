package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import linenring.handover.wire.Wire;
import linenring.protocol.HostList;
import linenring.protocol.InvalidEntries;
import linenring.protocol.ServiceScope;
import org.junit.jupiter.api.Test;

class KnownListTest {
    private static HostList.Entry host(String id) {
        return new HostList.Entry(id, 0, 0, HostList.State.READY, 1, Double.NEGATIVE_INFINITY);
    }

    private static HostList list(boolean whole, ServiceScope scope, String id) {
        return new HostList(41, whole, List.of(host(id)), InvalidEntries.NONE, scope, 0);
    }

    @Test
    void theScopeGoesAlongWithTheListThatWasReadUnderIt() throws Exception {
        ServiceScope one = ServiceScope.of(List.of("svc-1"));
        HostSnapshot known = new HostSnapshot();
        known.listed(list(true, one, "s-1"));
        known.listed(list(false, one, "s-2"));
        HostList heard = HostSnapshot.heard(Wire.HostList.parseFrom(known.told().toByteArray()), 1, 1);
        assertEquals(one, heard.scope());
        assertEquals(2, heard.entries().size());
        ServiceScope none = ServiceScope.of(List.of());
        known.listed(list(true, none, "s-3"));
        assertEquals(none, HostSnapshot.heard(known.told(), 1, 1).scope());
        known.listed(list(true, ServiceScope.ALL, "s-1"));
        assertEquals(ServiceScope.ALL, HostSnapshot.heard(known.told(), 1, 1).scope());
    }

    @Test
    void aReleaseThatKnowsNoScopeHasReadAll() {
        Wire.HostList old = Wire.HostList.newBuilder().setVersion(7).build();
        assertEquals(ServiceScope.ALL, HostSnapshot.heard(old, 1, 1).scope());
    }
}
