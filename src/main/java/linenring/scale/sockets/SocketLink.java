package linenring.scale.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * One connection of a {@link SocketLoop}. All methods must be called on the loop's thread, which owns the connection's
 * state.
 */
public final class SocketLink {
    /** Handles the events of a connection, on the loop's thread. */
    public interface Handler {
        /** Called when the connection has opened. */
        void connected(SocketLink link);

        /** Called when bytes have arrived; the buffer is reused after the method returns. */
        void received(SocketLink link, ByteBuffer bytes);

        /** Called once when the connection has closed, whichever side closed it. */
        void closed(SocketLink link);
    }

    private final SocketChannel channel;
    private final Handler handler;
    private final SocketLoop loop;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private SelectionKey key;
    private boolean closed;
    private boolean closesWhenSent;

    SocketLink(SocketLoop loop, SocketChannel channel, Handler handler) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
    }

    SocketChannel channel() {
        return channel;
    }

    Handler handler() {
        return handler;
    }

    void setSelectionKey(SelectionKey registration) {
        key = registration;
    }

    /** Sends the first {@code length} bytes without copying them, so the caller must not modify the array afterwards. */
    public void send(byte[] bytes, int length) {
        if (closed || closesWhenSent) {
            return;
        }
        unsent.add(ByteBuffer.wrap(bytes, 0, length));
        flush();
    }

    /** Sends the whole array without copying it, so the caller must not modify the array afterwards. */
    public void send(byte[] bytes) {
        send(bytes, bytes.length);
    }

    /** Closes the connection when all queued bytes are sent; further sends are ignored. */
    public void closeWhenSent() {
        closesWhenSent = true;
        flush();
    }

    void flush() {
        try {
            while (!unsent.isEmpty()) {
                loop.countBytesOut(channel.write(unsent.peek()));
                if (unsent.peek().hasRemaining()) {
                    key.interestOpsOr(SelectionKey.OP_WRITE);
                    return;
                }
                unsent.poll();
            }
            if (key.isValid()) {
                key.interestOpsAnd(~SelectionKey.OP_WRITE);
            }
            if (closesWhenSent) {
                close();
            }
        } catch (IOException connectionLost) {
            close();
        }
    }

    /** Closes the connection immediately; queued bytes are dropped. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        SocketLoop.closeQuietly(channel);
        handler.closed(this);
    }

    /** Whether the connection has closed. */
    public boolean isClosed() {
        return closed;
    }
}
