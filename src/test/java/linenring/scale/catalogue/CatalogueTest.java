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
        List<CatalogueHost> hosts = catalogue.hosts(host -> true);
        assertEquals(
                Map.of(0, 20L, 1, 20L, 2, 20L),
                hosts.stream().collect(Collectors.groupingBy(CatalogueHost::zone, Collectors.counting())));
        assertEquals(
                Set.of(12L),
                Set.copyOf(hosts.stream()
                        .collect(Collectors.groupingBy(CatalogueHost::service, Collectors.counting()))
                        .values()));
        assertEquals(
                4, catalogue.hosts(host -> host.zone() == 1 && host.rack() == 2).size());
    }

    @Test
    void numbersEachChange() {
        long before = catalogue.version();
        assertEquals(before + 1, catalogue.terminate(List.of(ready(0))).version());
        assertEquals(before + 2, catalogue.remove(List.of(ready(0))).version());
        assertEquals(before + 2, catalogue.version());
    }

    @Test
    void catchesUpWithTheLastStateOfEachHostThatChanged() {
        CatalogueHost twice = ready(0);
        CatalogueHost once = ready(1);
        CatalogueHost early = ready(2);
        catalogue.terminate(List.of(early));
        long held = catalogue.version();
        catalogue.terminate(List.of(twice));
        catalogue.remove(List.of(once));
        catalogue.start(List.of(twice), 77);
        CatalogueChange change = catalogue.catchUp(held);
        assertFalse(change.isComplete());
        assertEquals(catalogue.version(), change.version());
        assertEquals(List.of(twice.startedAt(77), once.withState(HostList.State.GONE)), change.hosts());
    }

    @Test
    void sendsNothingToAWatcherWithTheCurrentVersion() {
        assertNull(catalogue.catchUp(catalogue.version()));
    }

    @Test
    void sendsTheCompleteListToAWatcherWithAnOldVersion() {
        assertTrue(catalogue.catchUp(0).isComplete());
        catalogue.terminate(List.of(ready(0)));
        CatalogueChange complete = catalogue.catchUp(0);
        assertTrue(complete.isComplete());
        assertEquals(60, complete.hosts().size());
    }

    @Test
    void sendsTheCompleteListToAWatcherWithAVersionBeforeAReset() {
        catalogue.terminate(List.of(ready(0)));
        long held = catalogue.version();
        catalogue.restartVersions();
        catalogue.terminate(List.of(ready(1)));
        CatalogueChange change = catalogue.catchUp(held);
        assertTrue(change.isComplete());
        assertTrue(change.version() < held);
    }

    @Test
    void givesAReplacementAnIdThatWasNeverUsed() {
        Set<String> ids = new HashSet<>();
        catalogue.hosts(host -> true).forEach(host -> ids.add(host.id()));
        for (int i = 0; i < 1000; i++) {
            CatalogueChange change = catalogue.replace(List.of(ready(i % 60)), i);
            assertEquals(HostList.State.GONE, change.hosts().get(0).state());
            assertTrue(ids.add(change.hosts().get(1).id()));
        }
        assertEquals(60, catalogue.readyIds().size());
    }

    @Test
    void listsNoRemovedHostsAndDrainingHostsAsNotReady() {
        CatalogueHost gone = ready(0);
        CatalogueHost draining = ready(1);
        catalogue.remove(List.of(gone));
        catalogue.terminate(List.of(draining));
        assertNull(catalogue.find(gone.id()));
        assertEquals(59, catalogue.snapshot().hosts().size());
        assertEquals(58, catalogue.readyIds().size());
        assertFalse(catalogue.readyIds().contains(draining.id()));
    }
}
