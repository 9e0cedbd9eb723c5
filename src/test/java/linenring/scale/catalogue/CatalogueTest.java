package linenring.scale.catalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import linenring.protocol.HostList;
import org.junit.jupiter.api.Test;

class CatalogueTest {
    private final Catalogue catalogue = new Catalogue(new CatalogueLayout(60, 3, 2, 5, 4));

    private CatalogueHost ready(int number) {
        return catalogue.hosts(CatalogueHost::isReady).get(number);
    }

    @Test
    void spreadsHostsEvenlyOverZonesServicesAndRacks() {
        List<CatalogueHost> hosts = catalogue.hosts(h -> true);
        assertEquals(
                Map.of(0, 20L, 1, 20L, 2, 20L),
                hosts.stream().collect(Collectors.groupingBy(CatalogueHost::zone, Collectors.counting())));
        assertEquals(
                Set.of(12L),
                Set.copyOf(hosts.stream()
                        .collect(Collectors.groupingBy(CatalogueHost::service, Collectors.counting()))
                        .values()));
        assertEquals(4, catalogue.hosts(h -> h.zone() == 1 && h.rack() == 2).size());
    }

    @Test
    void eachChangeGetsTheNextVersion() {
        long before = catalogue.version();
        assertEquals(before + 1, catalogue.terminate(List.of(ready(0))).version());
        assertEquals(before + 2, catalogue.remove(List.of(ready(0))).version());
        assertEquals(before + 2, catalogue.version());
    }

    @Test
    void catchesUpWithTheLastStateOfEachHostThatChanged() {
        CatalogueHost twice = ready(0), once = ready(1), early = ready(2);
        catalogue.terminate(List.of(early));
        long held = catalogue.version();
        catalogue.terminate(List.of(twice));
        catalogue.remove(List.of(once));
        catalogue.start(List.of(twice), 77);
        CatalogueChange change = catalogue.catchUp(held);
        assertFalse(change.whole());
        assertEquals(catalogue.version(), change.version());
        assertEquals(List.of(twice.startedAt(77), once.as(HostList.State.GONE)), change.hosts());
    }

    @Test
    void tellsNothingToWhoHoldsThePresentVersion() {
        assertNull(catalogue.catchUp(catalogue.version()));
    }

    @Test
    void tellsTheWholeListToWhoHoldsWhatIsNotKept() {
        assertTrue(catalogue.catchUp(0).whole());
        catalogue.terminate(List.of(ready(0)));
        CatalogueChange whole = catalogue.catchUp(0);
        assertTrue(whole.whole());
        assertEquals(60, whole.hosts().size());
    }

    @Test
    void tellsTheWholeListToWhoHoldsAVersionOfAnEarlierCount() {
        catalogue.terminate(List.of(ready(0)));
        long held = catalogue.version();
        catalogue.restartVersions();
        catalogue.terminate(List.of(ready(1)));
        CatalogueChange change = catalogue.catchUp(held);
        assertTrue(change.whole());
        assertTrue(change.version() < held);
    }

    @Test
    void aReplacedHostGetsAnIdThatWasNeverUsed() {
        Set<String> ids = new HashSet<>();
        catalogue.hosts(h -> true).forEach(h -> ids.add(h.id()));
        for (int i = 0; i < 1000; i++) {
            CatalogueChange change = catalogue.replace(List.of(ready(i % 60)), i);
            assertEquals(HostList.State.GONE, change.hosts().get(0).state());
            assertTrue(ids.add(change.hosts().get(1).id()));
        }
        assertEquals(60, catalogue.readyIds().size());
    }

    @Test
    void aHostThatIsGoneIsInNoListAndOneThatDrainsIsNotReady() {
        CatalogueHost gone = ready(0), drains = ready(1);
        catalogue.remove(List.of(gone));
        catalogue.terminate(List.of(drains));
        assertNull(catalogue.find(gone.id()));
        assertEquals(59, catalogue.snapshot().hosts().size());
        assertEquals(58, catalogue.readyIds().size());
        assertFalse(catalogue.readyIds().contains(drains.id()));
    }
}
