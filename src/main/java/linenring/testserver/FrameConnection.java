package linenring.testserver;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.hpack.HpackDecoder;
import org.eclipse.jetty.http2.hpack.HpackEncoder;
import org.eclipse.jetty.http2.hpack.HpackException;

/**
 * HTTP/2 frames (RFC 9113, 4.1 and 6) over a blocking socket, one by one and unchecked, so that a test client or backend
 * can send what no library would. One thread reads; any thread writes.
 */
public final class FrameConnection implements AutoCloseable {
    private static final byte[] PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_HEADER_BLOCK_BYTES = 1 << 16;
    private static final int READ_BUFFER_BYTES = 1 << 16;
    private static final int FRAME_HEADER_BYTES = 9;
    private static final int SETTING_BYTES = 6;
    private static final int PRIORITY_BYTES = 5;
    private static final int MAX_UINT31 = 0x7fffffff;

    private final Socket socket;
    private final DataInputStream input;
    private final OutputStream output; // written under this
    private final HpackEncoder encoder = new HpackEncoder(); // used under this
    private final HpackDecoder decoder = new HpackDecoder(MAX_HEADER_BLOCK_BYTES, System::nanoTime);

    /** Over a connected socket, which is closed with it. */
    public FrameConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        input = new DataInputStream(new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES));
        output = socket.getOutputStream();
        encoder.setTableCapacity(0);
        encoder.setMaxHeaderListSize(MAX_HEADER_BLOCK_BYTES);
    }

    /** The first bytes of a client (RFC 9113, 3.4). */
    public static byte[] preface() {
        return PREFACE.clone();
    }

    /** The next frame; null at the end. */
    public Frame read() throws IOException {
        int first = input.read();
        if (first < 0) {
            return null;
        }
        int length = (first << 16) | (input.readUnsignedByte() << 8) | input.readUnsignedByte();
        int type = input.readUnsignedByte();
        int flags = input.readUnsignedByte();
        int stream = input.readInt() & MAX_UINT31;
        return new Frame(type, flags, stream, readFully(length));
    }

    byte[] readFully(int length) throws IOException {
        byte[] bytes = new byte[length];
        input.readFully(bytes);
        return bytes;
    }

    /** Reads and ignores what a client begins with. */
    void readPreface() throws IOException {
        readFully(PREFACE.length);
    }

    /** Sends a frame, whatever it says. */
    public void sendFrame(int type, int flags, int stream, byte... payload) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length);
        frame.put((byte) (payload.length >> 16))
                .putShort((short) payload.length)
                .put((byte) type)
                .put((byte) flags)
                .putInt(stream)
                .put(payload);
        sendBytes(frame.array());
    }

    /** Sends bytes as they are. */
    public synchronized void sendBytes(byte[] bytes) throws IOException {
        output.write(bytes);
        output.flush();
    }

    /** Sends settings as pairs of identifier and value. */
    public void sendSettings(int... pairs) throws IOException {
        ByteBuffer payload = ByteBuffer.allocate(pairs.length / 2 * SETTING_BYTES);
        for (int i = 0; i < pairs.length; i += 2) {
            payload.putShort((short) pairs[i]).putInt(pairs[i + 1]);
        }
        sendFrame(Frame.SETTINGS, 0, 0, payload.array());
    }

    /** Acknowledges a SETTINGS frame. */
    void acknowledgeSettings() throws IOException {
        sendFrame(Frame.SETTINGS, Frame.ACK, 0);
    }

    /** Answers a PING. */
    void answerPing(Frame ping) throws IOException {
        sendFrame(Frame.PING, Frame.ACK, 0, ping.payload());
    }

    /** Acknowledges a SETTINGS frame or answers a PING, where they want it. */
    public void acknowledge(Frame frame) throws IOException {
        if (frame.wantsAck() && frame.type() == Frame.SETTINGS) {
            acknowledgeSettings();
        } else if (frame.wantsAck() && frame.type() == Frame.PING) {
            answerPing(frame);
        }
    }

    /** Allows the peer so much more data on a stream, or with 0 on the connection. */
    public void sendWindowUpdate(int stream, int bytes) throws IOException {
        sendFrame(Frame.WINDOW_UPDATE, 0, stream, uint32s(bytes));
    }

    /** Ends a stream with an error code. */
    public void sendReset(int stream, int errorCode) throws IOException {
        sendFrame(Frame.RST_STREAM, 0, stream, uint32s(errorCode));
    }

    /** Announces the end of the connection. */
    public void sendGoAway(int lastStream, int errorCode) throws IOException {
        sendFrame(Frame.GOAWAY, 0, 0, uint32s(lastStream, errorCode));
    }

    private static byte[] uint32s(int... values) {
        ByteBuffer payload = ByteBuffer.allocate(Integer.BYTES * values.length);
        for (int value : values) {
            payload.putInt(value);
        }
        return payload.array();
    }

    /** Sends a header block: the encoder's order of blocks is that of the frames, so both are under one lock. */
    public synchronized void sendHeaders(int stream, MetaData head, boolean last) throws IOException {
        sendFrame(Frame.HEADERS, Frame.END_HEADERS | (last ? Frame.END_STREAM : 0), stream, encode(head));
    }

    /** A header block as {@link #sendHeaders} sends it. */
    public synchronized byte[] encode(MetaData head) {
        ByteBuffer block = ByteBuffer.allocate(MAX_HEADER_BLOCK_BYTES);
        try {
            encoder.encode(block, head);
        } catch (HpackException tooLarge) {
            throw new IllegalArgumentException(tooLarge);
        }
        byte[] bytes = new byte[block.flip().remaining()];
        block.get(bytes);
        return bytes;
    }

    /** What a header block says; called by the reading thread, once for each block, in order. */
    public MetaData decode(Frame headers) throws IOException {
        boolean padded = headers.has(Frame.PADDED);
        int offset = (padded ? 1 : 0) + (headers.has(Frame.PRIORITY) ? PRIORITY_BYTES : 0);
        int padding = padded ? Byte.toUnsignedInt(headers.payload()[0]) : 0;
        int length = headers.payload().length - offset - padding;
        try {
            return decoder.decode(ByteBuffer.wrap(headers.payload(), offset, length));
        } catch (HpackException invalid) {
            throw new IOException(invalid);
        }
    }

    /** The head of a request. */
    public static MetaData request(String method, String path, HttpFields fields) {
        return new MetaData.Request(method, HttpURI.from("http", "dispatch", 80, path), HttpVersion.HTTP_2, fields);
    }

    /** The head of an answer. */
    public static MetaData response(int status, HttpFields fields) {
        return new MetaData.Response(status, null, HttpVersion.HTTP_2, fields);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
