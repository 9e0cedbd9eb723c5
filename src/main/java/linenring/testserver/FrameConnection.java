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
 * HTTP/2 frames (RFC 9113, 4.1 and 6) over a blocking socket, one by one and unchecked, so that a stand-in can send
 * what no library would. One thread reads; any thread writes.
 */
public final class FrameConnection implements AutoCloseable {
    /** Frame types. */
    public static final int DATA = 0,
            HEADERS = 1,
            RST_STREAM = 3,
            SETTINGS = 4,
            PING = 6,
            GOAWAY = 7,
            WINDOW_UPDATE = 8,
            CONTINUATION = 9;
    /** Flags: ACK is that of SETTINGS and PING. */
    public static final int END_STREAM = 1, ACK = 1, END_HEADERS = 4, PADDED = 8, PRIORITY = 32;
    /** The client's first words. */
    public static final byte[] PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final int HEADERS_MOST = 1 << 16;

    /** One frame as it came. */
    public record Frame(int type, int flags, int stream, byte[] payload) {
        public boolean has(int flag) {
            return (flags & flag) != 0;
        }

        /** The payload's four bytes from {@code at} on, without the reserved bit. */
        public int figure(int at) {
            return ByteBuffer.wrap(payload).getInt(at) & 0x7fffffff;
        }
    }

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    private final HpackEncoder encoder = new HpackEncoder();
    private final HpackDecoder decoder = new HpackDecoder(HEADERS_MOST, System::nanoTime);

    public FrameConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
        out = socket.getOutputStream();
        encoder.setTableCapacity(0);
        encoder.setMaxHeaderListSize(HEADERS_MOST);
    }

    /** The next frame; null at the end. */
    public Frame read() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        int length = first << 16 | in.readUnsignedByte() << 8 | in.readUnsignedByte();
        int type = in.readUnsignedByte(), flags = in.readUnsignedByte(), stream = in.readInt() & 0x7fffffff;
        byte[] payload = new byte[length];
        in.readFully(payload);
        return new Frame(type, flags, stream, payload);
    }

    byte[] readFully(int bytes) throws IOException {
        byte[] read = new byte[bytes];
        in.readFully(read);
        return read;
    }

    public void write(int type, int flags, int stream, byte... payload) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(9 + payload.length);
        frame.put((byte) (payload.length >> 16))
                .putShort((short) payload.length)
                .put((byte) type)
                .put((byte) flags)
                .putInt(stream)
                .put(payload);
        raw(frame.array());
    }

    public synchronized void raw(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    /** Settings as pairs of identifier and value. */
    public void settings(int... pairs) throws IOException {
        ByteBuffer payload = ByteBuffer.allocate(pairs.length * 3);
        for (int i = 0; i < pairs.length; i += 2) {
            payload.putShort((short) pairs[i]).putInt(pairs[i + 1]);
        }
        write(SETTINGS, 0, 0, payload.array());
    }

    public void window(int stream, int by) throws IOException {
        write(WINDOW_UPDATE, 0, stream, figures(by));
    }

    public void reset(int stream, int error) throws IOException {
        write(RST_STREAM, 0, stream, figures(error));
    }

    public void goAway(int last, int error) throws IOException {
        write(GOAWAY, 0, 0, figures(last, error));
    }

    static byte[] figures(int... figures) {
        ByteBuffer payload = ByteBuffer.allocate(4 * figures.length);
        for (int f : figures) {
            payload.putInt(f);
        }
        return payload.array();
    }

    /** Sends a head; the encoder and the order of its blocks belong together. */
    public synchronized void headers(int stream, MetaData head, boolean end) throws IOException {
        write(HEADERS, END_HEADERS | (end ? END_STREAM : 0), stream, block(head));
    }

    /** A header block as {@link #headers} sends it. */
    public synchronized byte[] block(MetaData head) {
        ByteBuffer block = ByteBuffer.allocate(HEADERS_MOST);
        try {
            encoder.encode(block, head);
        } catch (HpackException e) {
            throw new IllegalArgumentException(e);
        }
        byte[] bytes = new byte[block.flip().remaining()];
        block.get(bytes);
        return bytes;
    }

    /** What a whole header block says; called by the reading thread, once for each block, in order. */
    public MetaData decode(Frame f) throws IOException {
        int from = (f.has(PADDED) ? 1 : 0) + (f.has(PRIORITY) ? 5 : 0), pad = f.has(PADDED) ? f.payload()[0] & 0xff : 0;
        try {
            return decoder.decode(ByteBuffer.wrap(f.payload(), from, f.payload().length - from - pad));
        } catch (HpackException e) {
            throw new IOException(e);
        }
    }

    public static MetaData request(String method, String path, HttpFields fields) {
        return new MetaData.Request(method, HttpURI.from("http", "dispatch", 80, path), HttpVersion.HTTP_2, fields);
    }

    public static MetaData response(int status, HttpFields fields) {
        return new MetaData.Response(status, null, HttpVersion.HTTP_2, fields);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
