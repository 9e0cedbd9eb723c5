package linenring.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import linenring.protocol.HostList;
import org.junit.jupiter.api.Test;

class ListLedgerTest {
    private final ListLedger ledger = new ListLedger();

    private void told(long version, boolean whole, String host, HostList.State state) {
        ledger.listed(new HostList(version, whole, List.of(new HostList.Entry(host, 0, 0, state, 1, 0))));
    }

    @Test
    void keepsWhoIsReady() {
        told(1, true, "s-1", HostList.State.READY);
        told(2, false, "s-2", HostList.State.READY);
        told(3, false, "s-1", HostList.State.TERMINATING);
        assertEquals(Set.of("s-2"), ledger.readyIds());
        told(4, false, "s-2", HostList.State.GONE);
        assertEquals(Set.of(), ledger.readyIds());
        assertEquals(3, ledger.changes());
        assertEquals(0, ledger.jumps());
        assertTrue(ledger.faults().isEmpty());
    }

    @Test
    void tellsAChangeThatComesTwiceOrLate() {
        told(5, true, "s-1", HostList.State.READY);
        told(6, false, "s-2", HostList.State.READY);
        told(6, false, "s-2", HostList.State.READY);
        told(4, false, "s-3", HostList.State.READY);
        assertEquals(List.of("version 6 after 6", "version 4 after 6"), ledger.faults());
    }

    @Test
    void countsWhatWasCaughtUpInOneLine() {
        told(1, true, "s-1", HostList.State.READY);
        told(9, false, "s-2", HostList.State.READY);
        assertEquals(1, ledger.jumps());
        assertEquals(7, ledger.merged());
        assertTrue(ledger.faults().isEmpty());
    }
}
