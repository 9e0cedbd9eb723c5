package linenring.scale.catalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import linenring.protocol.HostList;
import org.junit.jupiter.api.Test;

class CatalogueEventsTest {
    private static final long START = 1_000_000;

    private final Catalogue catalogue = new Catalogue(new CatalogueLayout(120, 3, 2, 4, 10));
    private final CatalogueEvents events = new CatalogueEvents(catalogue, new Random(7));

    private static List<CatalogueChange> play(CatalogueEvents events, long fromMs, long toMs) {
        List<CatalogueChange> all = new ArrayList<>();
        for (long timeMs = fromMs; timeMs <= toMs; timeMs += 10) {
            all.addAll(events.advance(START + timeMs));
        }
        return all;
    }

    @Test
    void churnsAtItsRateAndLeavesAllHostsReadyAtItsEnd() {
        Set<String> before = catalogue.readyIds();
        events.churn(START, 10);
        assertEquals(10 * 30, play(events, 0, 30_000).size(), 15);
        events.endSteadyRates();
        play(events, 30_010, 40_000);
        assertEquals(Long.MAX_VALUE, events.nextTimeMs());
        assertEquals(before, catalogue.readyIds());
    }

    @Test
    void repeatsTheSameEventsForTheSameSeed() {
        Catalogue other = new Catalogue(catalogue.layout());
        CatalogueEvents again = new CatalogueEvents(other, new Random(7));
        events.churn(START, 20);
        events.replaceSteadily(START, 3);
        again.churn(START, 20);
        again.replaceSteadily(START, 3);
        assertEquals(
                play(events, 0, 20_000).stream().map(CatalogueChange::hosts).toList(),
                play(again, 0, 20_000).stream().map(CatalogueChange::hosts).toList());
    }

    @Test
    void numbersChangesInOrder() {
        events.churn(START, 50);
        events.replaceSteadily(START, 10);
        long version = catalogue.version();
        for (CatalogueChange change : play(events, 0, 10_000)) {
            assertEquals(++version, change.version());
        }
    }

    @Test
    void drainsReplacedHostsAndAddsNewOnes() {
        Set<String> before = catalogue.readyIds();
        events.replaceSteadily(START, 5);
        List<CatalogueChange> changes = play(events, 0, 4_000);
        events.endSteadyRates();
        changes.addAll(play(events, 4_010, 10_000));
        int replaced = (int)
                changes.stream().filter(change -> change.hosts().size() == 2).count();
        assertEquals(20, (double) replaced, 1);
        assertEquals(120, catalogue.readyIds().size());
        Set<String> kept = catalogue.readyIds();
        kept.retainAll(before);
        assertEquals(120 - replaced, kept.size());
    }

    @Test
    void removesTheHostsOfALostRackOnly() {
        events.loseRack(START + 100, 1, 2);
        List<CatalogueChange> changes = play(events, 0, 1000);
        assertEquals(1, changes.size());
        assertEquals(10, changes.get(0).hosts().size());
        assertTrue(changes.get(0).hosts().stream()
                .allMatch(host -> host.zone() == 1 && host.rack() == 2 && host.state() == HostList.State.GONE));
        assertEquals(110, catalogue.readyIds().size());
    }

    @Test
    void returnsALostZoneInOneList() {
        Set<String> before = catalogue.readyIds();
        events.loseZone(START, 2, 5000);
        assertEquals(1, play(events, 0, 4990).size());
        assertEquals(80, catalogue.readyIds().size());
        List<CatalogueChange> back = play(events, 5000, 6000);
        assertEquals(1, back.size());
        assertEquals(40, back.get(0).hosts().size());
        assertTrue(back.get(0).hosts().stream().allMatch(host -> host.isReady() && host.startedMs() == START + 5000));
        assertEquals(before, catalogue.readyIds());
    }

    @Test
    void restartsNoMoreThanOneStepAtATime() {
        List<CatalogueHost> service = catalogue.hosts(host -> host.service() == 1);
        events.rollingRestart(START, service, 3, 2000);
        int fewestReady = 120;
        for (long timeMs = 0; timeMs <= 30_000; timeMs += 10) {
            events.advance(START + timeMs);
            fewestReady = Math.min(fewestReady, catalogue.readyIds().size());
        }
        assertEquals(117, fewestReady);
        assertEquals(120, catalogue.readyIds().size());
        assertTrue(catalogue.hosts(host -> host.service() == 1).stream().allMatch(host -> host.startedMs() > 0));
    }

    @Test
    void returnsAZoneThatIsLostTwice() {
        events.loseZone(START, 0, 1000);
        events.loseZone(START + 500, 0, 1000);
        play(events, 0, 5000);
        assertEquals(120, catalogue.readyIds().size());
    }
}
