package linenring.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/** The protocol that a client uses, detected by the first bytes of its connection. */
enum ClientProtocol {
    /** The complete HTTP/2 connection preface was received (RFC 9113, 3.4). */
    HTTP2,
    /** All received bytes match the beginning of the HTTP/2 connection preface. */
    INCOMPLETE_PREFACE,
    /** The client sends an HTTP/1 request. */
    HTTP1,
    /** The client sends an HTTP/1 request for the obsolete upgrade to h2c (RFC 9113, 3.1). */
    HTTP1_UPGRADE,
    /** The client sends a TLS handshake record. */
    TLS,
    /** The first bytes match no other protocol of this list. */
    UNKNOWN;

    private static final byte[] PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int TLS_HANDSHAKE_RECORD_TYPE = 0x16;
    private static final int METHOD_PREFIX_BYTES = 4;

    /** HTTP/1 request methods, truncated to {@link #METHOD_PREFIX_BYTES} bytes. */
    private static final Set<String> METHOD_PREFIXES =
            Set.of("GET ", "POST", "PUT ", "HEAD", "DELE", "OPTI", "PATC", "CONN");

    /** Detects the protocol by the received bytes, without moving the buffer's position. */
    static ClientProtocol detect(ByteBuffer received) {
        int length = received.remaining();
        int matchingBytes = matchingPrefaceBytes(received);
        if (matchingBytes == PREFACE.length) {
            return HTTP2;
        }
        return matchingBytes == length ? INCOMPLETE_PREFACE : otherProtocol(received, length);
    }

    private static int matchingPrefaceBytes(ByteBuffer received) {
        int comparedBytes = Math.min(received.remaining(), PREFACE.length);
        int matchingBytes = 0;
        while (matchingBytes < comparedBytes
                && received.get(received.position() + matchingBytes) == PREFACE[matchingBytes]) {
            matchingBytes++;
        }
        return matchingBytes;
    }

    private static ClientProtocol otherProtocol(ByteBuffer received, int length) {
        String receivedText =
                StandardCharsets.ISO_8859_1.decode(received.slice()).toString();
        if (length >= METHOD_PREFIX_BYTES && METHOD_PREFIXES.contains(receivedText.substring(0, METHOD_PREFIX_BYTES))) {
            return receivedText.toLowerCase(Locale.ROOT).contains("upgrade: h2c") ? HTTP1_UPGRADE : HTTP1;
        }
        return receivedText.charAt(0) == TLS_HANDSHAKE_RECORD_TYPE ? TLS : UNKNOWN;
    }
}
