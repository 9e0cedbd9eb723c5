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

class CatalogueResponsesTest {
    private final Catalogue catalogue = new Catalogue(new CatalogueLayout(30, 2, 2, 3, 5));
    private final CatalogueResponses responses = new CatalogueResponses(catalogue);

    private DecodeResult<HostList> read(byte[] bytes, int length) {
        CatalogueLayout layout = catalogue.layout();
        Names names = new Names(layout.zoneNames(), layout.kindNames(), List.of("lookup"), 1, 4);
        return new Codec(names).decodeHostList(bytes, length);
    }

    @Test
    void sendsAListThatTheCodecReads() {
        CatalogueResponses.ResponseBody body = responses.completeList();
        assertFalse(body.isTruncated());
        HostList list = read(body.bytes(), body.sentBytes()).orElseThrow();
        assertEquals(catalogue.snapshot().asHostList(), list);
    }

    @Test
    void cutsOneListWithinAnEntryAndSendsTheNextComplete() {
        responses.cutNextLists(1);
        CatalogueResponses.ResponseBody truncated = responses.completeList();
        assertTrue(truncated.isTruncated());
        assertInstanceOf(DecodeResult.Failed.class, read(truncated.bytes(), truncated.sentBytes()));
        String sent = new String(truncated.bytes(), 0, truncated.sentBytes(), StandardCharsets.UTF_8);
        assertTrue(sent.contains("\"id\"") && !sent.endsWith("},"), sent);
        assertFalse(responses.completeList().isTruncated());
    }

    @Test
    void corruptsEntriesOfOneListOnly() {
        responses.corruptNextLists(1, 4);
        CatalogueResponses.ResponseBody body = responses.completeList();
        HostList list = read(body.bytes(), body.sentBytes()).orElseThrow();
        assertNotNull(list);
        assertEquals(26, list.entries().size());
        assertEquals(4, list.invalidEntries().count());
        CatalogueResponses.ResponseBody next = responses.completeList();
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
