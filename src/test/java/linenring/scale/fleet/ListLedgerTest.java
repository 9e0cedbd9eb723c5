package linenring.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import linenring.protocol.HostList;
import org.junit.jupiter.api.Test;

class ListLedgerTest {
    private final ListLedger ledger = new ListLedger();

    private void receive(long version, boolean complete, String host, HostList.State state) {
        ledger.record(new HostList(version, complete, List.of(new HostList.Entry(host, 0, 0, state, 1, 0))));
    }

    @Test
    void keepsReadyHosts() {
        receive(1, true, "s-1", HostList.State.READY);
        receive(2, false, "s-2", HostList.State.READY);
        receive(3, false, "s-1", HostList.State.TERMINATING);
        assertEquals(Set.of("s-2"), ledger.readyIds());
        receive(4, false, "s-2", HostList.State.GONE);
        assertEquals(Set.of(), ledger.readyIds());
        assertEquals(3, ledger.deltas());
        assertEquals(0, ledger.mergedDeltas());
        assertTrue(ledger.faults().isEmpty());
    }

    @Test
    void reportsAVersionReceivedTwiceOrOutOfOrder() {
        receive(5, true, "s-1", HostList.State.READY);
        receive(6, false, "s-2", HostList.State.READY);
        receive(6, false, "s-2", HostList.State.READY);
        receive(4, false, "s-3", HostList.State.READY);
        assertEquals(
                List.of("version 6 received after version 6", "version 4 received after version 6"), ledger.faults());
    }

    @Test
    void countsVersionsMergedIntoOneDelta() {
        receive(1, true, "s-1", HostList.State.READY);
        receive(9, false, "s-2", HostList.State.READY);
        assertEquals(1, ledger.mergedDeltas());
        assertEquals(7, ledger.mergedVersions());
        assertTrue(ledger.faults().isEmpty());
    }
}
