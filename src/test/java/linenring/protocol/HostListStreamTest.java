package linenring.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class HostListStreamTest {
    /** A list with entries in and outside the scope, unknown fields, escapes, an invalid entry, and fields after the entries. */
    private static final String LIST = "{\"x\":{\"servers\":[1]},\"version\":43,\"servers\":["
            + entry("s-1", "svc-1", "Ready") + ",\n"
            + "{\"service\":\"svc-9\",\"id\":\"s-2\",\"zone\":\"far\",\"kind\":7,\"state\":[{\"a\":null}]},"
            + "{\"id\":\"s-\\u00e9\",\"zone\":\"b\",\"kind\":\"m1\",\"more\":{\"id\":\"no\",\"b\":[1,{}]},\"state\":\"Ready\","
            + "\"weight\":1.25e0,\"started_ms\":1700000000123},"
            + "{\"id\":\"s-4\",\"zone\":\"b\",\"kind\":\"m1\",\"state\":\"Asleep\",\"service\":\"svc-1\"},"
            + "{\"id\":\"s-é5\",\"zone\":\"b\",\"kind\":\"m1\",\"state\":\"Terminating\",\"service\":null}"
            + "],\"full\":true}";

    private static final ServiceScope SCOPE = ServiceScope.of(List.of("svc-1", "svc-2"));
    private final Names names = new Names(List.of("a", "b"), List.of("m1"), List.of("lookup"), 9, 4);
    private final Codec codec = new Codec(names);

    private static String entry(String id, String service, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"10.0.0.1:1\",\"zone\":\"a\",\"kind\":\"m1\",\"cell\":3,\"state\":\""
                + state + "\",\"weight\":1.0,\"started_ms\":0,\"service\":\"" + service + "\"}";
    }

    private static String list(boolean isComplete, String... entries) {
        return "{\"version\":44,\"full\":" + isComplete + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    private static HostListFilter scopedFilter(String... listedHosts) {
        return new HostListFilter(SCOPE, Set.of(listedHosts)::contains, Integer.MAX_VALUE);
    }

    /** Feeds the text in fragments that end at these byte offsets, each in the same reused array. */
    private DecodeResult<HostList> read(HostListFilter filter, String text, int... endOffsets) {
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        byte[] buffer = new byte[all.length];
        try (HostListStream stream = codec.hostListStream(filter)) {
            int from = 0;
            int[] fragmentEnds = Arrays.copyOf(endOffsets, endOffsets.length + 1);
            fragmentEnds[endOffsets.length] = all.length;
            for (int end : fragmentEnds) {
                System.arraycopy(all, from, buffer, 0, end - from);
                stream.feed(buffer, 0, end - from);
                Arrays.fill(buffer, (byte) '#');
                from = end;
            }
            return stream.end();
        }
    }

    private List<String> decodedHosts(HostListFilter filter, String text) {
        return read(filter, text).orElseThrow().entries().stream()
                .map(entry -> entry.host() + " " + entry.state())
                .toList();
    }

    @Test
    void decodesTheSameListWhereverItIsSplitBetweenTwoReads() {
        HostList unsplit = read(scopedFilter(), LIST).orElseThrow();
        assertEquals(
                List.of("s-1", "s-é", "s-é5"),
                unsplit.entries().stream().map(HostList.Entry::host).toList());
        assertEquals(1, unsplit.outsideScopeCount());
        assertEquals(
                List.of("field state: unknown 'Asleep'"),
                unsplit.invalidEntries().firstReasons());
        int bytes = LIST.getBytes(StandardCharsets.UTF_8).length;
        for (int cut = 0; cut <= bytes; cut++) {
            assertEquals(unsplit, read(scopedFilter(), LIST, cut).orElseThrow(), "cut at " + cut);
        }
    }

    @Property(tries = 300)
    void decodesTheSameListFromAnyFragments(@ForAll @Size(max = 40) List<@IntRange(max = 900) Integer> cuts) {
        int bytes = LIST.getBytes(StandardCharsets.UTF_8).length;
        int[] endOffsets =
                cuts.stream().mapToInt(cut -> Math.min(cut, bytes)).sorted().toArray();
        assertEquals(
                read(scopedFilter(), LIST).orElseThrow(),
                read(scopedFilter(), LIST, endOffsets).orElseThrow());
    }

    /** The connection breaks within a list: if half a list were accepted, the hosts of the other half would be removed. */
    @Test
    void failsWhereverTheListIsCut() {
        byte[] all = LIST.getBytes(StandardCharsets.UTF_8);
        for (int length = 0; length < all.length; length++) {
            try (HostListStream stream = codec.hostListStream(scopedFilter())) {
                stream.feed(all, 0, length);
                assertEquals(Optional.empty(), stream.result(), "after " + length);
                assertEquals(DecodeResult.failed(Stage.TEXT, "not JSON"), stream.end(), "after " + length);
            }
        }
    }

    @Test
    void addsNoNamesForAnEntryOutsideTheScope() {
        read(scopedFilter(), LIST);
        assertEquals(List.of("a", "b"), names.zones());
        read(HostListFilter.NONE, LIST.replace("\"kind\":7", "\"kind\":\"m1\"").replace("[{\"a\":null}]", "\"Ready\""));
        assertEquals(List.of("a", "b", "far"), names.zones());
    }

    @Test
    void ignoresTheTypeOfTheServiceWithoutAScope() {
        String listText = list(true, entry("s-1", "svc-9", "Ready").replace("\"svc-9\"", "7"));
        assertEquals(List.of("s-1 READY"), decodedHosts(HostListFilter.NONE, listText));
        assertEquals(
                List.of("field service is not text"),
                read(scopedFilter(), listText).orElseThrow().invalidEntries().firstReasons());
    }

    @Test
    void keepsHostsWithoutAServiceUnderAnEmptyScope() {
        HostListFilter emptyScope = new HostListFilter(ServiceScope.of(List.of()), id -> false, Integer.MAX_VALUE);
        assertEquals(List.of("s-é READY", "s-é5 TERMINATING"), decodedHosts(emptyScope, LIST));
    }

    @Test
    void removesAHostThatLeavesTheScopeOnlyIfItIsListed() {
        String changes = list(
                false,
                entry("s-1", "svc-9", "Ready"),
                entry("s-2", "svc-9", "Ready"),
                entry("s-3", "svc-2", "Ready"),
                "{\"id\":\"s-4\",\"state\":\"Gone\"}",
                "{\"id\":\"s-5\",\"state\":\"Gone\"}",
                "{\"service\":\"svc-9\",\"state\":\"Gone\",\"id\":\"s-6\"}");
        assertEquals(
                List.of("s-1 GONE", "s-3 READY", "s-4 GONE", "s-6 GONE"),
                decodedHosts(scopedFilter("s-1", "s-4", "s-6"), changes));
        assertEquals(3, read(scopedFilter(), changes).orElseThrow().outsideScopeCount());
    }

    @Test
    void removesAHostThatEntersAndLeavesInOneList() {
        String changes = list(
                false,
                entry("s-1", "svc-1", "Ready"),
                entry("s-1", "svc-9", "Ready"),
                entry("s-2", "svc-9", "Ready"),
                entry("s-2", "svc-1", "Ready"));
        assertEquals(
                List.of("s-1 READY", "s-1 GONE", "s-2 GONE", "s-2 READY"), decodedHosts(scopedFilter("s-2"), changes));
    }

    /** The field that marks a list as complete may follow its entries, after hosts outside the scope were recorded as removed. */
    @Test
    void reportsNoHostAsGoneIfTheListTurnsOutComplete() {
        String text = "{\"servers\":[" + entry("s-1", "svc-9", "Ready") + "," + entry("s-2", "svc-1", "Ready")
                + "],\"full\":true,\"version\":44}";
        assertEquals(List.of("s-2 READY"), decodedHosts(scopedFilter("s-1"), text));
        assertEquals(
                List.of("s-1 GONE", "s-2 READY"), decodedHosts(scopedFilter("s-1"), text.replace("true", "false")));
    }

    @Test
    void ignoresInvalidFieldsOfAnEntryOutsideTheScope() {
        HostList read = read(scopedFilter(), list(true, "{\"id\":7,\"zone\":1,\"service\":\"svc-9\"}"))
                .orElseThrow();
        assertTrue(read.invalidEntries().isEmpty());
        assertTrue(read.hasNoHostsInScope());
    }

    @Test
    void countsInvalidEntriesAndKeepsTheFirstReasons() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            entries.add(i % 3 == 0 ? entry("s-" + i, "svc-1", "Asleep") : entry("s-" + i, "svc-1", "Ready"));
        }
        HostList read = read(HostListFilter.NONE, list(true, entries.toArray(String[]::new)))
                .orElseThrow();
        assertEquals(2000, read.entries().size());
        assertEquals(1000, read.invalidEntries().count());
        assertEquals(3, read.invalidEntries().firstReasons().size());
        String summary = read.invalidEntriesSummary().orElseThrow();
        assertTrue(summary.startsWith(
                "1000 invalid entries, which are skipped; the first: field state: unknown 'Asleep'"));
        assertTrue(summary.length() < 200);
    }

    /** An entry that never ends would fill the heap, whether with one long string, several strings, or nested values. */
    @Test
    void rejectsAnEntryOverItsSizeLimitForEachWayToFillIt() {
        int maxBytes = HostListReader.MAX_ENTRY_BYTES;
        String smallEntry = entry("s-1", "svc-1", "Ready");
        for (String padding : List.of(
                "\"more\":\"" + "x".repeat(maxBytes) + "\"",
                "\"more\":\"" + "x".repeat(maxBytes / 2) + "\",\"most\":\"" + "x".repeat(maxBytes / 2) + "\"",
                "\"more\":[" + "1,".repeat(maxBytes) + "1]",
                "\"more\":{" + "\"f\":1,".repeat(maxBytes) + "\"g\":1}")) {
            String text = list(true, smallEntry, smallEntry.replace("\"cell\":3", padding));
            int[] fragmentEnds = new int[text.length() / 1000];
            Arrays.setAll(fragmentEnds, index -> 1000 * (index + 1));
            assertEquals(
                    DecodeResult.failed(Stage.TEXT, "an entry exceeds the limit of 65536 bytes"),
                    read(HostListFilter.NONE, text, fragmentEnds),
                    padding.substring(0, 20));
        }
        String validEntry = smallEntry.replace("\"cell\":3", "\"more\":\"" + "x".repeat(maxBytes / 2) + "\"");
        assertEquals(List.of("s-1 READY"), decodedHosts(HostListFilter.NONE, list(true, validEntry)));
    }

    /** The catalogue outgrows the heap: the list is rejected while it is decoded, since running out of memory ends the process. */
    @Test
    void rejectsMoreHostsInScopeThanTheHeapHasRoomFor() {
        HostListFilter maxTwoHosts = new HostListFilter(SCOPE, id -> false, 2);
        String[] entries = {
            entry("s-1", "svc-1", "Ready"), entry("s-2", "svc-9", "Ready"), entry("s-3", "svc-2", "Ready")
        };
        assertEquals(List.of("s-1 READY", "s-3 READY"), decodedHosts(maxTwoHosts, list(true, entries)));
        entries[1] = entries[1].replace("svc-9", "svc-1");
        assertEquals(
                DecodeResult.failed(Stage.SIZE, "over 2 hosts, which is more than fits the heap"),
                read(maxTwoHosts, list(true, entries)));
    }

    @Test
    void computesHostCapacityFromTheHeapWithAMinimum() {
        assertEquals(HostCapacity.MIN_HOSTS, HostCapacity.of(1 << 20));
        assertTrue(HostCapacity.of(64L << 20) > 73_000);
        assertTrue(HostCapacity.of(48L << 20) < 73_000);
        assertEquals(Integer.MAX_VALUE, HostCapacity.of(Long.MAX_VALUE));
    }

    @Test
    void skipsOnlyTheEntryWhoseNumberIsNotANumber() {
        String listText = list(
                true,
                entry("s-1", "svc-1", "Ready").replace("\"weight\":1.0", "\"weight\":NaN"),
                entry("s-2", "svc-1", "Ready"));
        assertEquals(List.of("s-2 READY"), decodedHosts(HostListFilter.NONE, listText));
        assertEquals(
                List.of("field weight: NaN is out of range"),
                read(HostListFilter.NONE, listText)
                        .orElseThrow()
                        .invalidEntries()
                        .firstReasons());
    }
}
