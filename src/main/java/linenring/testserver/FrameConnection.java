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
 * Sends and receives single HTTP/2 frames (RFC 9113, 4.1 and 6) over a blocking socket. Frames are not validated, so that a
 * test client or backend can violate the protocol. Only one thread may read; any thread may write.
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
    private final OutputStream output; // guarded by this
    private final HpackEncoder encoder = new HpackEncoder(); // guarded by this
    private final HpackDecoder decoder = new HpackDecoder(MAX_HEADER_BLOCK_BYTES, System::nanoTime);

    /** Creates a frame connection over a connected socket and takes ownership of the socket. */
    public FrameConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        input = new DataInputStream(new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES));
        output = socket.getOutputStream();
        encoder.setTableCapacity(0);
        encoder.setMaxHeaderListSize(MAX_HEADER_BLOCK_BYTES);
    }

    /** Returns the client connection preface (RFC 9113, 3.4). */
    public static byte[] preface() {
        return PREFACE.clone();
    }

    /** Reads the next frame; returns null at the end of the stream of bytes. */
    public Frame read() throws IOException {
        int lengthHighByte = input.read();
        if (lengthHighByte < 0) {
            return null;
        }
        int length = (lengthHighByte << 16) | (input.readUnsignedByte() << 8) | input.readUnsignedByte();
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

    /** Reads and discards the client connection preface. */
    void skipPreface() throws IOException {
        readFully(PREFACE.length);
    }

    /** Sends a frame without validating it. */
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

    /** Sends raw bytes, which need not be a valid frame. */
    public synchronized void sendBytes(byte[] bytes) throws IOException {
        output.write(bytes);
        output.flush();
    }

    /** Sends a SETTINGS frame; the arguments are pairs of identifier and value. */
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

    /** Acknowledges a PING frame. */
    void answerPing(Frame ping) throws IOException {
        sendFrame(Frame.PING, Frame.ACK, 0, ping.payload());
    }

    /** Acknowledges a SETTINGS or PING frame unless the frame is an acknowledgement itself. */
    public void acknowledge(Frame frame) throws IOException {
        if (frame.requiresAcknowledgement() && frame.type() == Frame.SETTINGS) {
            acknowledgeSettings();
        } else if (frame.requiresAcknowledgement() && frame.type() == Frame.PING) {
            answerPing(frame);
        }
    }

    /** Increases the peer's send window of a stream, or of the connection if {@code stream} is 0. */
    public void sendWindowUpdate(int stream, int bytes) throws IOException {
        sendFrame(Frame.WINDOW_UPDATE, 0, stream, uint32s(bytes));
    }

    /** Sends a RST_STREAM frame with an error code. */
    public void sendReset(int stream, int errorCode) throws IOException {
        sendFrame(Frame.RST_STREAM, 0, stream, uint32s(errorCode));
    }

    /** Sends a GOAWAY frame. */
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

    /** Encodes and sends a header block under one lock, since HPACK requires that blocks are sent in the order of encoding. */
    public synchronized void sendHeaders(int stream, MetaData head, boolean endsStream) throws IOException {
        sendFrame(Frame.HEADERS, Frame.END_HEADERS | (endsStream ? Frame.END_STREAM : 0), stream, encode(head));
    }

    /** Encodes a request or response head to an HPACK header block. */
    public synchronized byte[] encode(MetaData head) {
        ByteBuffer block = ByteBuffer.allocate(MAX_HEADER_BLOCK_BYTES);
        try {
            encoder.encode(block, head);
        } catch (HpackException encodingFailure) {
            throw new IllegalArgumentException(encodingFailure);
        }
        byte[] bytes = new byte[block.flip().remaining()];
        block.get(bytes);
        return bytes;
    }

    /** Decodes the header block of a HEADERS frame. The reading thread must decode every block once, in the order received. */
    public MetaData decode(Frame headers) throws IOException {
        boolean isPadded = headers.hasFlag(Frame.PADDED);
        int offset = (isPadded ? 1 : 0) + (headers.hasFlag(Frame.PRIORITY) ? PRIORITY_BYTES : 0);
        int padding = isPadded ? Byte.toUnsignedInt(headers.payload()[0]) : 0;
        int length = headers.payload().length - offset - padding;
        try {
            return decoder.decode(ByteBuffer.wrap(headers.payload(), offset, length));
        } catch (HpackException decodingFailure) {
            throw new IOException(decodingFailure);
        }
    }

    /** Builds the head of a request. */
    public static MetaData requestHead(String method, String path, HttpFields fields) {
        return new MetaData.Request(method, HttpURI.from("http", "dispatch", 80, path), HttpVersion.HTTP_2, fields);
    }

    /** Builds the head of a response. */
    public static MetaData responseHead(int status, HttpFields fields) {
        return new MetaData.Response(status, null, HttpVersion.HTTP_2, fields);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
