package linenring.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import linenring.protocol.DecodeError.Stage;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CodecTest {
    private final Codec codec =
            new Codec(new Names(List.of("a", "b"), List.of("m1", "m2"), List.of("lookup", "order"), 20, 4));

    private DecodeResult<InboundMessage> decodeInbound(String line) {
        byte[] bytes = (line + "left over").getBytes(StandardCharsets.UTF_8);
        return codec.decodeInbound(bytes, line.length());
    }

    private DecodeResult<HostList> decodeHostList(String line) {
        return codec.decodeHostList(line.getBytes(StandardCharsets.UTF_8), line.length());
    }

    private HostList list(String line) {
        return decodeHostList(line).orElseThrow();
    }

    @Test
    void decodesEachMessageTypeAndSkipsUnknownFields() {
        assertEquals(
                new InboundMessage.Ping(), decodeInbound("{\"@type\":\"PING\"}").orElseThrow());
        assertEquals(
                new InboundMessage.Collector(1),
                decodeInbound("{\"site\":\"b\",\"x\":{\"y\":[1]},\"@type\":\"SOURCE\"}")
                        .orElseThrow());
        assertEquals(
                new InboundMessage.Subscribe(17, 0, 21.5, true),
                decodeInbound("{\"@type\":\"SUBSCRIBE\",\"id\":17,\"site\":\"a\",\"rps\":21.5,\"new\":true}")
                        .orElseThrow());
        assertEquals(
                new InboundMessage.Acknowledgement(17, 905, 310.4),
                decodeInbound("{\"@type\":\"ACK\",\"id\":17,\"seq\":905,\"ms\":310.4}")
                        .orElseThrow());
        assertEquals(
                new InboundMessage.RequestRateReport(17, 1, 19, 1000),
                decodeInbound(
                                "{\"@type\":\"RATE\",\"id\":17,\"lane\":\"order\",\"count\":19,\"fail\":0,\"over\":1000.0}")
                        .orElseThrow());
        assertEquals(
                // a request may fail in a later period than the one in which it arrived
                new InboundMessage.RequestRateReport(17, 1, 0, 500),
                decodeInbound("{\"@type\":\"RATE\",\"id\":17,\"lane\":\"order\",\"count\":0,\"fail\":1,\"over\":500}")
                        .orElseThrow());
        assertEquals(
                new InboundMessage.LoadReport("s-1", 0, 212, 3, 41.7, 1000),
                decodeInbound(
                                "{\"@type\":\"LOAD\",\"site\":\"a\","
                                        + "\"target\":\"s-1\",\"count\":212,\"fail\":3,\"mean\":41.7,\"over\":1000.0,\"util\":{\"util\":0.6}}")
                        .orElseThrow());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET / HTTP/1.1 | TEXT | not JSON",
                "[1] | TEXT | not a JSON object",
                "{\"@type\":\"PING\"} {} | TEXT | more than one JSON object on a line",
                "{\"site\":\"a\"} | KIND | field @type is missing",
                "{\"@type\":\"HELLO\"} | KIND | unknown @type 'HELLO'",
                "{\"@type\":7} | FIELDS | field @type is not text",
                "{\"@type\":\"SOURCE\",\"site\":\"z\"} | FIELDS | field site: unknown 'z'",
                "{\"@type\":\"SUBSCRIBE\",\"id\":20,\"site\":\"a\"} | FIELDS | field id: 20.0 is not a whole number from 0 to 19",
                "{\"@type\":\"SUBSCRIBE\",\"site\":\"a\"} | FIELDS | field id is missing",
                "{\"@type\":\"SUBSCRIBE\",\"id\":1,\"site\":\"a\",\"rps\":1} | FIELDS | field new is missing",
                "{\"@type\":\"ACK\",\"id\":1,\"seq\":1} | FIELDS | field ms is missing",
                "{\"@type\":\"LOAD\",\"site\":\"a\",\"target\":\"s\",\"count\":2,\"fail\":1} | FIELDS | field mean is missing",
                "{\"@type\":\"ACK\",\"id\":1,\"seq\":1.5} | FIELDS | field seq: 1.5 is not a whole number from 0 to 65535",
                "{\"@type\":\"RATE\",\"id\":1,\"lane\":\"x\",\"count\":1,\"fail\":0,\"over\":1} | FIELDS | field lane: unknown 'x'",
                "{\"@type\":\"RATE\",\"id\":1,\"lane\":\"order\",\"count\":1,\"fail\":0,\"over\":-1} | FIELDS | field over: -1.0 is out of range",
                "{\"@type\":\"RATE\",\"id\":1,\"lane\":\"order\",\"count\":1,\"fail\":0,\"over\":0} | FIELDS "
                        + "| field over: the period must be longer than 0 ms",
                "{\"@type\":\"RATE\",\"id\":1,\"lane\":\"order\",\"count\":1,\"fail\":-2,\"over\":9} | FIELDS "
                        + "| field fail: -2.0 is not a whole number from 0 to 1000000",
                "{\"@type\":\"ACK\",\"id\":1,\"seq\":1,\"ms\":NaN} | FIELDS | field ms: NaN is out of range",
                "{\"@type\":\"ACK\",\"id\":1,\"seq\":1,\"ms\":1e300} | FIELDS | field ms: 1.0E300 is out of range",
                "{\"@type\":\"ACK\",\"id\":[{\"x\":1}],\"seq\":1,\"ms\":1} | FIELDS | field id is not a number",
                "{\"@type\":\"ACK\",\"id\":\"1\",\"seq\": | TEXT | not JSON",
                "{\"@type\":\"LOAD\",\"site\":\"a\",\"target\":\"s\",\"count\":2,\"fail\":2} | FIELDS | field over is missing",
                "{\"@type\":\"LOAD\",\"site\":\"a\",\"target\":\"s\",\"count\":2,\"fail\":3} | FIELDS "
                        + "| field fail: 3.0 is not a whole number from 0 to 2",
                "{\"@type\":\"LOAD\",\"site\":\"a\",\"target\":\"s\",\"count\":\"2\"} | FIELDS | field count is not a number"
            })
    void reportsTheStageAtWhichDecodingFails(String line, Stage stage, String reason) {
        DecodeResult<InboundMessage> decoded = decodeInbound(line);
        assertEquals(DecodeResult.failed(stage, reason), decoded);
    }

    @Test
    void decodesHostListWithIndicesForNamesAndMinusInfinityForNoStart() {
        HostList list = list(
                "{\"version\":43,\"full\":false,\"servers\":[{\"id\":\"s-1\",\"addr\":\"10.0.0.1:1\",\"zone\":\"b\","
                        + "\"kind\":\"m2\",\"cell\":3,\"state\":\"Ready\",\"weight\":1.5,\"started_ms\":0},"
                        + "{\"id\":\"s-2\",\"zone\":\"a\",\"kind\":\"m1\",\"state\":\"Terminating\",\"started_ms\":1700000000123}]}");
        assertEquals(
                new HostList(
                        43,
                        false,
                        List.of(
                                new HostList.Entry(
                                        "s-1",
                                        1,
                                        1,
                                        HostList.State.READY,
                                        1.5,
                                        Double.NEGATIVE_INFINITY,
                                        "10.0.0.1:1",
                                        3),
                                new HostList.Entry("s-2", 0, 0, HostList.State.TERMINATING, 1, 1700000000123.0))),
                list);
        assertInstanceOf(
                DecodeResult.Failed.class, decodeHostList("{\"version\":\"x\",\"full\":false,\"servers\":[]}"));
        assertInstanceOf(DecodeResult.Failed.class, decodeHostList("{\"version\":43,\"full\":false}"));
        assertInstanceOf(DecodeResult.Failed.class, decodeHostList("{\"version\":43,\"full\":fal"));
    }

    @Test
    void abbreviatesLongTextOfAPeerInTheError() {
        DecodeResult<InboundMessage> result = decodeInbound("{\"@type\":\"" + "x".repeat(5000) + "\"}");
        String reason =
                assertInstanceOf(DecodeResult.Failed.class, result).error().reason();
        assertTrue(reason.length() < 100);
    }

    @Test
    void encodesEachPartAsALineOfWhichAllButTheLastAreContinued() {
        String written = new String(
                codec.encode(new ConfigurationUpdate(List.of(
                        new ConfigurationUpdate.Part(
                                List.of("lookup"),
                                true,
                                List.of(
                                        new ConfigurationUpdate.TableEntry("s-1", 1.5),
                                        new ConfigurationUpdate.TableEntry("s-2", 0.12344)),
                                new ConfigurationUpdate.AdmissionPolicy(0.9, 1),
                                List.of(),
                                List.of(),
                                ConfigurationUpdate.WITHOUT_NONCE),
                        new ConfigurationUpdate.Part(
                                List.of(), false, List.of(), null, List.of("s-3"), List.of("s-4"), 905)))),
                StandardCharsets.UTF_8);
        assertEquals(
                "{\"@type\":\"CONFIG\",\"routes\":[\"lookup\"],\"full\":true,\"endpoints\":[[\"s-1\",1.5],[\"s-2\",0.1234]],"
                        + "\"admit\":0.9,\"policy\":1,\"continued\":true}\n"
                        + "{\"@type\":\"CONFIG\",\"eject\":[\"s-3\"],\"restore\":[\"s-4\"],\"nonce_out\":905}\n",
                written);
    }

    @Test
    void skipsOnlyTheInvalidEntryAndAcceptsZonesThatTheSettingsDoNotName() {
        HostList list = list("{\"version\":3,\"full\":true,\"servers\":["
                + "{\"id\":\"s-1\",\"zone\":{\"x\":[1]},\"kind\":\"m1\",\"state\":\"Ready\"},7,[{}],"
                + "{\"id\":\"s-2\",\"zone\":\"q\",\"kind\":\"m9\",\"state\":\"Ready\"},"
                + "{\"id\":\"s-3\",\"zone\":\"b\",\"kind\":\"m9\",\"state\":\"Asleep\"}]}");
        assertEquals(4, list.invalidEntries().count());
        assertEquals(
                List.of(new HostList.Entry("s-2", 2, 2, HostList.State.READY, 1, Double.NEGATIVE_INFINITY)),
                list.entries());
        assertEquals(
                new InboundMessage.Collector(2),
                decodeInbound("{\"@type\":\"SOURCE\",\"site\":\"q\"}").orElseThrow());
    }
}
