package linenring.scale.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** One connection of a {@link SocketLoop}; all its methods are called on the loop's thread. */
public final class SocketLink {
    /** What becomes of a connection's events. */
    public interface Handler {
        void connected(SocketLink link);

        /** Bytes have come; they must be consumed before it returns. */
        void received(SocketLink link, ByteBuffer bytes);

        /** It has ended, whoever ended it; called once. */
        void closed(SocketLink link);
    }

    final SocketChannel channel;
    final Handler handler;
    private final SocketLoop loop;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private SelectionKey key;
    private boolean closed, closesWhenSent;

    SocketLink(SocketLoop loop, SocketChannel channel, Handler handler) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
    }

    void registered(SelectionKey with) {
        key = with;
    }

    /** Sends these bytes; an array that is shared is not copied. */
    public void send(byte[] bytes, int length) {
        if (closed || closesWhenSent) {
            return;
        }
        unsent.add(ByteBuffer.wrap(bytes, 0, length));
        flush();
    }

    public void send(byte[] bytes) {
        send(bytes, bytes.length);
    }

    /** Ends it once all is sent. */
    public void closeWhenSent() {
        closesWhenSent = true;
        flush();
    }

    void flush() {
        try {
            while (!unsent.isEmpty()) {
                loop.bytesOut.add(channel.write(unsent.peek()));
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
        } catch (IOException e) {
            close();
        }
    }

    /** Ends it now. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        SocketLoop.closeQuietly(channel);
        handler.closed(this);
    }

    public boolean isClosed() {
        return closed;
    }
}
