package linenring.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/** What a client speaks, by the first bytes of its connection. */
enum ClientProtocol {
    /** The complete preface is there (RFC 9113, 3.4). */
    HTTP2,
    /** All that is there begins the preface. */
    INCOMPLETE_PREFACE,
    /** A request of HTTP/1. */
    HTTP1,
    /** A request of HTTP/1 for the obsolete upgrade to h2c (RFC 9113, 3.1). */
    HTTP1_UPGRADE,
    /** A TLS record of a handshake. */
    TLS,
    /** Anything else. */
    UNKNOWN;

    private static final byte[] PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int TLS_HANDSHAKE = 0x16;
    private static final int METHOD_LENGTH = 4;

    /** HTTP/1's methods, cut to {@link #METHOD_LENGTH}. */
    private static final Set<String> METHODS = Set.of("GET ", "POST", "PUT ", "HEAD", "DELE", "OPTI", "PATC", "CONN");

    /** Leaves the buffer as it is. */
    static ClientProtocol of(ByteBuffer received) {
        int length = received.remaining();
        int matching = matchingPrefaceBytes(received);
        if (matching == PREFACE.length) {
            return HTTP2;
        }
        return matching == length ? INCOMPLETE_PREFACE : otherProtocol(received, length);
    }

    private static int matchingPrefaceBytes(ByteBuffer received) {
        int compared = Math.min(received.remaining(), PREFACE.length);
        int matching = 0;
        while (matching < compared && received.get(received.position() + matching) == PREFACE[matching]) {
            matching++;
        }
        return matching;
    }

    private static ClientProtocol otherProtocol(ByteBuffer received, int length) {
        String start = StandardCharsets.ISO_8859_1.decode(received.slice()).toString();
        if (length >= METHOD_LENGTH && METHODS.contains(start.substring(0, METHOD_LENGTH))) {
            return start.toLowerCase(Locale.ROOT).contains("upgrade: h2c") ? HTTP1_UPGRADE : HTTP1;
        }
        return start.charAt(0) == TLS_HANDSHAKE ? TLS : UNKNOWN;
    }
}
