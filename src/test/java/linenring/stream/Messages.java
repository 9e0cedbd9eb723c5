package linenring.stream;

import java.util.List;
import linenring.protocol.Codec;
import linenring.protocol.ConfigurationUpdate;
import linenring.settings.Names;

/** Protocol messages used by several tests. */
final class Messages {
    static final String SUBSCRIBE = "{\"@type\":\"SUBSCRIBE\",\"id\":3,\"site\":\"a\",\"rps\":2.5,\"new\":true}\n";
    static final String SOURCE = "{\"@type\":\"SOURCE\",\"site\":\"b\"}\n";
    static final String RATE =
            "{\"@type\":\"RATE\",\"id\":3,\"lane\":\"lookup\",\"count\":4,\"fail\":0,\"over\":500}\n";
    static final String PING = "{\"@type\":\"PING\"}\n";
    static final String PONG = "{\"@type\":\"PONG\"}\n";

    private Messages() {}

    /** Returns an update that ejects one host. */
    static ConfigurationUpdate update(int nonce) {
        return new ConfigurationUpdate(List.of(
                new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of("s-1"), List.of(), nonce)));
    }

    /** Returns the encoded form of {@link #update}. */
    static String updateLine(int nonce) {
        return "{\"@type\":\"CONFIG\",\"eject\":[\"s-1\"],\"nonce_out\":" + nonce + "}\n";
    }

    static String acknowledgement(int proxy, int nonce, double elapsedMs) {
        return "{\"@type\":\"ACK\",\"id\":" + proxy + ",\"seq\":" + nonce + ",\"ms\":" + elapsedMs + "}\n";
    }

    static Codec codec() {
        return new Codec(new Names(List.of("a", "b"), List.of("m1"), List.of("lookup"), 9, 4));
    }
}
