package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClientProtocolTest {
    @ParameterizedTest
    @CsvSource({
        "HTTP2, PRI * HTTP/2.0||SM||",
        "HTTP2, PRI * HTTP/2.0||SM||and more",
        "INCOMPLETE_PREFACE, PRI * HT",
        "UNKNOWN, PRI * HTTP/2.0||XX||",
        "HTTP1, GET / HTTP/1.1|",
        "HTTP1, DELETE / HTTP/1.1|",
        "HTTP1_UPGRADE, GET / HTTP/1.1|Upgrade: h2c|",
        "UNKNOWN, GE/",
        "UNKNOWN, hello"
    })
    void recognisesProtocolByFirstBytes(ClientProtocol expected, String text) {
        byte[] bytes = text.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII);
        assertEquals(expected, ClientProtocol.detect(ByteBuffer.wrap(bytes)));
    }
}
