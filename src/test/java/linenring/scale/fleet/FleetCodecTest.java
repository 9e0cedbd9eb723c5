package linenring.scale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import linenring.protocol.Codec;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.InboundMessage;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;

/** Checks that the codecs of simulated fleets and of the controller decode each other. */
class FleetCodecTest {
    private static final List<String> ZONES = List.of("a", "b");
    private static final List<String> OPERATIONS = List.of("lookup", "order");

    private final Codec codec = new Codec(new Names(ZONES, List.of("m1"), OPERATIONS, 9, 4));
    private final ConfigurationUpdateDecoder decoder = new ConfigurationUpdateDecoder();

    private ConfigurationUpdate encodeAndDecode(ConfigurationUpdate update) throws IOException {
        ConfigurationUpdate decoded = null;
        List<String> lines =
                new String(codec.encode(update), StandardCharsets.UTF_8).lines().toList();
        for (int i = 0; i < lines.size(); i++) {
            byte[] line = lines.get(i).getBytes(StandardCharsets.UTF_8);
            decoded = decoder.decodeLine(line, 0, line.length);
            if (i + 1 < lines.size()) {
                assertNull(decoded);
            }
        }
        return decoded;
    }

    @Test
    void decodesAnUpdateOfSeveralParts() throws IOException {
        ConfigurationUpdate update = new ConfigurationUpdate(List.of(
                new ConfigurationUpdate.Part(
                        List.of("lookup"),
                        true,
                        List.of(
                                new ConfigurationUpdate.TableEntry("s-1", 1.5),
                                new ConfigurationUpdate.TableEntry("s-2", 0)),
                        new ConfigurationUpdate.AdmissionPolicy(0.5, 2),
                        List.of(),
                        List.of(),
                        ConfigurationUpdate.WITHOUT_NONCE),
                new ConfigurationUpdate.Part(
                        List.of(), false, List.of(), null, List.of("s-3"), List.of("s-4", "s-5"), 77)));
        assertEquals(update, encodeAndDecode(update));
        assertEquals(update, encodeAndDecode(update));
    }

    @Test
    void encodesEachMessageToAController() {
        FleetLayout layout = new FleetLayout(9, ZONES, OPERATIONS, ChannelLimits.ofFleet(9), 10, 20);
        List<InboundMessage> all = new ArrayList<>(List.of(
                new InboundMessage.Ping(),
                new InboundMessage.Collector(1),
                new InboundMessage.Subscribe(3, 1, 20, true),
                new InboundMessage.Acknowledgement(3, 77, 310.5),
                new InboundMessage.RequestRateReport(3, 1, 7, 1000),
                new InboundMessage.LoadReport("s-1", 1, 12, 3, 80, 1000)));
        for (InboundMessage message : all) {
            byte[] line = new InboundMessageEncoder(layout).encodeLine(message);
            assertEquals('\n', line[line.length - 1]);
            assertEquals(message, codec.decodeInbound(line, line.length).orElseThrow());
        }
    }
}
