package linenring.testserver;

import java.nio.ByteBuffer;

/**
 * One HTTP/2 frame (RFC 9113, 4.1).
 *
 * @param type    one of the constants of this class, or any other
 * @param flags   as sent
 * @param stream  its identifier, 0 for the connection
 * @param payload everything behind the header
 */
@SuppressWarnings("ArrayRecordComponent") // frames are never compared, and their payload is read in place
public record Frame(int type, int flags, int stream, byte[] payload) {
    /** Type of a frame that carries a body (RFC 9113, 6.1). */
    public static final int DATA = 0;

    /** Type of a frame that opens a stream or ends it with trailers (RFC 9113, 6.2). */
    public static final int HEADERS = 1;

    /** Type of a frame that ends a stream at once (RFC 9113, 6.4). */
    public static final int RST_STREAM = 3;

    /** Type of a frame with settings (RFC 9113, 6.5). */
    public static final int SETTINGS = 4;

    /** Type of a frame that is to be answered by the same (RFC 9113, 6.7). */
    public static final int PING = 6;

    /** Type of a frame that announces the end of a connection (RFC 9113, 6.8). */
    public static final int GOAWAY = 7;

    /** Type of a frame that allows more data (RFC 9113, 6.9). */
    public static final int WINDOW_UPDATE = 8;

    /** Type of a frame that goes on with a header block (RFC 9113, 6.10). */
    public static final int CONTINUATION = 9;

    /** Flag of DATA and HEADERS. */
    public static final int END_STREAM = 1;

    /** Flag of SETTINGS and PING. */
    public static final int ACK = 1;

    /** Flag of HEADERS and CONTINUATION. */
    public static final int END_HEADERS = 4;

    /** Flag of DATA and HEADERS. */
    public static final int PADDED = 8;

    /** Flag of HEADERS. */
    public static final int PRIORITY = 32;

    /** Identifier of a setting: how many streams the peer may open (RFC 9113, 6.5.2). */
    public static final int MAX_CONCURRENT_STREAMS = 3;

    /** Identifier of a setting: with which window the sender's streams begin (RFC 9113, 6.5.2). */
    public static final int INITIAL_WINDOW_SIZE = 4;

    /** The window of a connection, and of streams until SETTINGS say otherwise (RFC 9113, 6.9.2). */
    public static final int DEFAULT_WINDOW_BYTES = 65_535;

    private static final int SETTING_BYTES = 6;
    private static final int MAX_UINT31 = 0x7fffffff;

    /** Takes one setting. */
    public interface SettingHandler {
        /** Called for each setting in their order. */
        void setting(int id, int value);
    }

    /** Whether a flag is set. */
    public boolean has(int flag) {
        return (flags & flag) != 0;
    }

    /** Whether it is a SETTINGS or PING that its receiver has to acknowledge. */
    boolean wantsAck() {
        return !has(ACK);
    }

    /** The payload's four bytes from this offset on, without the reserved bit. */
    public int uint31(int offset) {
        return ByteBuffer.wrap(payload).getInt(offset) & MAX_UINT31;
    }

    /** The settings of a SETTINGS frame. */
    public void forEachSetting(SettingHandler handler) {
        ByteBuffer settings = ByteBuffer.wrap(payload);
        while (settings.remaining() >= SETTING_BYTES) {
            int id = settings.getShort();
            handler.setting(id, settings.getInt());
        }
    }
}
