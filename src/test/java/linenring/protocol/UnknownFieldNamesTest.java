package linenring.protocol;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import linenring.settings.Names;
import org.junit.jupiter.api.Test;

/**
 * Decodes messages whose unknown fields have a new name each. Guards against a cache of field names: it grew with each name and was
 * copied for each message, so that one peer could keep a core busy and fill the memory, and others were served late.
 */
class UnknownFieldNamesTest {
    private static final int MESSAGES = 5000;

    /** A new name may cost a string more than a repeated one, but nothing that goes by the number of names. */
    private static final double MAX_COST_RATIO = 2;

    private final Codec codec = new Codec(new Names(List.of("a"), List.of("std"), List.of("quote"), 1, 4));

    private static long allocatedBytes(Consumer<byte[]> decoder, String format, int firstName) {
        byte[][] messages = new byte[MESSAGES][];
        for (int i = 0; i < MESSAGES; i++) {
            String name = "field" + (firstName < 0 ? MESSAGES : firstName + i);
            messages[i] = format.formatted(name).getBytes(StandardCharsets.US_ASCII);
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytesBefore = threads.getCurrentThreadAllocatedBytes();
        for (byte[] message : messages) {
            decoder.accept(message);
        }
        return threads.getCurrentThreadAllocatedBytes() - bytesBefore;
    }

    private static void assertNewNamesCostNoMore(Consumer<byte[]> decoder, String format) {
        allocatedBytes(decoder, format, -1); // loads the classes
        long repeatedName = allocatedBytes(decoder, format, -1);
        long newNames = allocatedBytes(decoder, format, 2 * MESSAGES);
        assertTrue(
                newNames < MAX_COST_RATIO * repeatedName,
                MESSAGES + " messages allocate " + repeatedName + " bytes with one name, " + newNames
                        + " with new ones");
    }

    @Test
    void decodesMessagesOfPeersAtConstantCost() {
        assertNewNamesCostNoMore(
                message -> codec.decodeInbound(message, message.length).orElseThrow(),
                "{\"@type\":\"LOAD\",\"%s\":1,\"site\":\"a\",\"target\":\"s-0\",\"count\":2,\"fail\":0,\"mean\":4.7,\"over\":1000.0}");
    }

    @Test
    void decodesHostListsAtConstantCost() {
        assertNewNamesCostNoMore(
                message -> codec.decodeHostList(message, message.length).orElseThrow(),
                "{\"version\":41,\"full\":false,\"%s\":1,\"servers\":[]}");
    }
}
