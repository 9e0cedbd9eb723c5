package linenring.scale.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** One connection of a {@link SocketLoop}. All its methods are called on the loop's thread, which owns its state. */
public final class SocketLink {
    /** Handles the events of a connection, on the loop's thread. */
    public interface Handler {
        /** The connection is open. */
        void connected(SocketLink link);

        /** Bytes have arrived; the buffer is used again once the method returns. */
        void received(SocketLink link, ByteBuffer bytes);

        /** The connection has ended, whoever ended it; called once. */
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

    void registered(SelectionKey registration) {
        key = registration;
    }

    /** Sends these bytes without a copy: the caller must not change them any more. */
    public void send(byte[] bytes, int length) {
        if (closed || closesWhenSent) {
            return;
        }
        unsent.add(ByteBuffer.wrap(bytes, 0, length));
        flush();
    }

    /** Sends all of these bytes. */
    public void send(byte[] bytes) {
        send(bytes, bytes.length);
    }

    /** Closes it once all is sent. */
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
        } catch (IOException lost) {
            close();
        }
    }

    /** Closes it now; what is not sent yet is dropped. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        SocketLoop.closeQuietly(channel);
        handler.closed(this);
    }

    /** Whether it has ended. */
    public boolean isClosed() {
        return closed;
    }
}
