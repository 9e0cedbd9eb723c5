package linenring.testserver;

import java.nio.ByteBuffer;

/**
 * One HTTP/2 frame (RFC 9113, 4.1).
 *
 * @param type    frame type, not limited to the constants of this class
 * @param flags   flags byte of the frame header
 * @param stream  stream identifier, or 0 for the connection
 * @param payload bytes after the frame header
 */
@SuppressWarnings("ArrayRecordComponent") // frames are never compared, and the payload is read without a copy
public record Frame(int type, int flags, int stream, byte[] payload) {
    /** Type of a frame that carries a part of a request or response body (RFC 9113, 6.1). */
    public static final int DATA = 0;

    /** Type of a frame that carries the headers or trailers of a stream (RFC 9113, 6.2). */
    public static final int HEADERS = 1;

    /** Type of a frame that terminates a stream immediately (RFC 9113, 6.4). */
    public static final int RST_STREAM = 3;

    /** Type of a frame that carries connection settings (RFC 9113, 6.5). */
    public static final int SETTINGS = 4;

    /** Type of a frame that the peer acknowledges with the same payload (RFC 9113, 6.7). */
    public static final int PING = 6;

    /** Type of a frame that announces the shutdown of a connection (RFC 9113, 6.8). */
    public static final int GOAWAY = 7;

    /** Type of a frame that increases a flow control window (RFC 9113, 6.9). */
    public static final int WINDOW_UPDATE = 8;

    /** Type of a frame that continues a header block (RFC 9113, 6.10). */
    public static final int CONTINUATION = 9;

    /** Flag of the last DATA or HEADERS frame that the sender sends on a stream. */
    public static final int END_STREAM = 1;

    /** Flag of a SETTINGS or PING frame that acknowledges one of the peer. */
    public static final int ACK = 1;

    /** Flag of a HEADERS or CONTINUATION frame that ends a header block. */
    public static final int END_HEADERS = 4;

    /** Flag of a DATA or HEADERS frame that contains padding. */
    public static final int PADDED = 8;

    /** Flag of a HEADERS frame that contains priority fields. */
    public static final int PRIORITY = 32;

    /** Identifier of the setting that limits the concurrent streams of the peer (RFC 9113, 6.5.2). */
    public static final int MAX_CONCURRENT_STREAMS = 3;

    /** Identifier of the setting for the initial flow control window of streams (RFC 9113, 6.5.2). */
    public static final int INITIAL_WINDOW_SIZE = 4;

    /** Identifier of the setting that limits the size of headers that the peer sends (RFC 9113, 6.5.2). */
    public static final int MAX_HEADER_LIST_SIZE = 6;

    /** Initial window of a connection, and of its streams unless SETTINGS set another value (RFC 9113, 6.9.2). */
    public static final int DEFAULT_WINDOW_BYTES = 65_535;

    private static final int SETTING_BYTES = 6;
    private static final int MAX_UINT31 = 0x7fffffff;

    /** Receives the settings of a SETTINGS frame. */
    public interface SettingHandler {
        /** Handles one setting; called for each setting in the order of the frame. */
        void setting(int id, int value);
    }

    /** Whether the frame has a flag set. */
    public boolean hasFlag(int flag) {
        return (flags & flag) != 0;
    }

    /** Whether a SETTINGS or PING frame needs an acknowledgement, that is, is not one itself. */
    boolean requiresAcknowledgement() {
        return !hasFlag(ACK);
    }

    /** Reads a 31-bit unsigned integer from four payload bytes; the reserved bit is ignored. */
    public int readUint31(int offset) {
        return ByteBuffer.wrap(payload).getInt(offset) & MAX_UINT31;
    }

    /** Calls the handler for each setting of a SETTINGS frame. */
    public void forEachSetting(SettingHandler handler) {
        ByteBuffer settings = ByteBuffer.wrap(payload);
        while (settings.remaining() >= SETTING_BYTES) {
            int id = settings.getShort();
            handler.setting(id, settings.getInt());
        }
    }
}
