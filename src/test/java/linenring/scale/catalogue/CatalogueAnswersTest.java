package linenring.scale.catalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import linenring.protocol.Codec;
import linenring.protocol.DecodeResult;
import linenring.protocol.HostList;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;

class CatalogueAnswersTest {
    private final Catalogue catalogue = new Catalogue(new CatalogueLayout(30, 2, 2, 3, 5));
    private final CatalogueAnswers answers = new CatalogueAnswers(catalogue);

    private DecodeResult<HostList> read(byte[] bytes, int length) {
        CatalogueLayout layout = catalogue.layout();
        Names names = new Names(layout.zoneNames(), layout.kindNames(), List.of("lookup"), 1, 4);
        return new Codec(names).decodeHostList(bytes, length);
    }

    @Test
    void sendsAListThatTheCodecReads() {
        CatalogueAnswers.Body body = answers.list();
        assertFalse(body.isCut());
        HostList list = read(body.bytes(), body.sentBytes()).orElseThrow();
        assertEquals(catalogue.snapshot().asHostList(), list);
    }

    @Test
    void cutsOneListWithinAnEntryAndSendsTheNextComplete() {
        answers.cutNextLists(1);
        CatalogueAnswers.Body cut = answers.list();
        assertTrue(cut.isCut());
        assertInstanceOf(DecodeResult.Failed.class, read(cut.bytes(), cut.sentBytes()));
        String sent = new String(cut.bytes(), 0, cut.sentBytes(), StandardCharsets.UTF_8);
        assertTrue(sent.contains("\"id\"") && !sent.endsWith("},"), sent);
        assertFalse(answers.list().isCut());
    }

    @Test
    void corruptsEntriesOfOneListOnly() {
        answers.corruptNextLists(1, 4);
        CatalogueAnswers.Body body = answers.list();
        HostList list = read(body.bytes(), body.sentBytes()).orElseThrow();
        assertNotNull(list);
        assertEquals(26, list.entries().size());
        assertEquals(4, list.invalidEntries().count());
        CatalogueAnswers.Body next = answers.list();
        assertEquals(
                30, read(next.bytes(), next.sentBytes()).orElseThrow().entries().size());
    }

    @Test
    void sendsARemovedHostAsGone() {
        CatalogueChange gone = catalogue.remove(catalogue.hosts(host -> host.zone() == 1));
        HostList list = read(gone.encoded(), gone.encoded().length).orElseThrow();
        assertFalse(list.isComplete());
        assertEquals(15, list.entries().size());
        assertTrue(list.entries().stream().allMatch(entry -> entry.state() == HostList.State.GONE));
    }

    @Test
    void encodesAChangeOnce() {
        CatalogueChange change = catalogue.terminate(catalogue.hosts(host -> host.rack() == 0));
        assertTrue(change.chunk() == change.chunk());
        assertTrue(catalogue.snapshot() == catalogue.snapshot());
    }
}
