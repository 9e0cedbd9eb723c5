package linenring.stream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import linenring.event.ProxyStream;
import linenring.protocol.Codec;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.DecodeError;
import linenring.protocol.DecodeResult;
import linenring.protocol.InboundMessage;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * A connection of a proxy, a collector or an unidentified peer. The selector's thread reads, the control loop writes and closes,
 * and the server's timer closes the connection after a timeout. The state of reading is guarded by this connection's monitor.
 */
final class PeerConnection extends AbstractConnection implements ProxyStream {
    /** Read buffer per selector thread instead of per connection, since there are few selector threads. */
    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> BufferUtil.allocate(16 * 1024));

    /** Number of consecutive reads from one connection before other connections of the selector are served. */
    private static final int MAX_READS_PER_TURN = 16;

    /** Line length limit of the protocol. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    /** Line length limit before identification; the identifying message has about 100 bytes. */
    private static final int MAX_UNIDENTIFIED_LINE_BYTES = 16 << 10;

    /** The side that closes the connection, which determines how the end is logged. */
    private enum ClosedBy {
        PEER,
        SERVER
    }

    private final StreamServer server;
    private final long number;
    private final long openedAtNanos;
    private final PeerSession session = new PeerSession(); // modified only while holding this connection's lock
    private final LineFramer framer; // @GuardedBy("this")
    private final OutboundQueue outbound;

    PeerConnection(EndPoint endPoint, Executor executor, StreamServer server, long number) {
        super(endPoint, executor);
        this.server = server;
        this.number = number;
        openedAtNanos = server.nowNanos();
        framer = new LineFramer(server.lineMemory(), server::nowNanos, MAX_UNIDENTIFIED_LINE_BYTES, this::onLine);
        outbound = new OutboundQueue(endPoint, () -> closeAndLog("writing to the connection failed", ClosedBy.PEER));
    }

    @Override
    public long streamNumber() {
        return number;
    }

    /** The selector still calls this deprecated method; without the override it would read on another thread. */
    @Override
    @SuppressWarnings("deprecation")
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING; // reading adds to the event queue and never blocks
    }

    @Override
    public void onOpen() {
        super.onOpen();
        server.opened(this);
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            if (readAvailable()) {
                fillInterested();
            }
        } catch (IOException failure) {
            closeAndLog("connection was reset", ClosedBy.PEER);
        } catch (RuntimeException failure) {
            // a fault in handling one connection must not affect the other connections of the selector
            closeAndLog("internal error, " + failure, ClosedBy.SERVER);
        }
    }

    /** Reads the available bytes, with a limit on the number of reads; returns false once the connection is closed. */
    private boolean readAvailable() throws IOException {
        ByteBuffer buffer = READ_BUFFER.get();
        for (int i = 0; i < MAX_READS_PER_TURN; i++) {
            BufferUtil.clear(buffer); // filling appends at the buffer's limit
            int count = getEndPoint().fill(buffer);
            if (count < 0) {
                closeAndLog("peer closed the connection", ClosedBy.PEER);
                return false;
            }
            if (count == 0) {
                return true;
            }
            if (!receive(buffer.array(), buffer.arrayOffset() + buffer.position(), count)) {
                return false;
            }
        }
        return true;
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        closeAndLog("connection was reset", ClosedBy.PEER);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closeAndLog("connection was reset", ClosedBy.PEER);
        synchronized (this) {
            framer.releaseBuffer();
        }
        server.closed(this);
        // waits for a line in progress, so that the end of the stream is queued after its subscription
        synchronized (this) {
            if (session.state() == PeerSession.State.PROXY) {
                server.eventQueue().enqueueStreamClosed(this);
            }
        }
    }

    /** Processes received bytes; returns false once the connection is closed, after which only the stream's end is reported. */
    private synchronized boolean receive(byte[] bytes, int start, int count) {
        if (outbound.isClosed()) {
            return false;
        }
        try {
            return framer.feed(bytes, start, count);
        } catch (ConnectionRejectedException failure) {
            closeAndLog(failure.getMessage(), ClosedBy.SERVER);
            return false;
        }
    }

    /** Handles one line; returns false once the connection is closed. */
    private boolean onLine(byte[] line, int length) throws ConnectionRejectedException {
        try {
            InboundMessage message = decode(line, length);
            if (message instanceof InboundMessage.Ping) {
                send(Codec.pong());
                return !outbound.isClosed();
            }
            handle(message);
        } catch (MessageRejectedException failure) {
            server.log().warn("invalid", describe() + ": message dropped, " + failure.getMessage());
        }
        return true;
    }

    /**
     * Decodes a line. An invalid message of an identified peer is dropped; malformed JSON, or an invalid message before
     * identification, closes the connection.
     */
    private InboundMessage decode(byte[] line, int length)
            throws ConnectionRejectedException, MessageRejectedException {
        DecodeResult<InboundMessage> decoded = server.codec().decodeInbound(line, length);
        if (decoded instanceof DecodeResult.Failed<InboundMessage> failed) {
            DecodeError error = failed.error();
            if (session.isIdentified() && error.stage() != DecodeError.Stage.TEXT) {
                throw new MessageRejectedException(error.toString());
            }
            throw new ConnectionRejectedException("received unreadable data, " + error);
        }
        return decoded.orElseThrow();
    }

    private void handle(InboundMessage message) throws ConnectionRejectedException, MessageRejectedException {
        session.accept(message, server.nowNanos());
        framer.setMaxLineBytes(MAX_LINE_BYTES); // the session accepts messages only from identified peers
        if (!(message instanceof InboundMessage.Collector)) {
            server.eventQueue().enqueueMessage(this, message);
        }
    }

    @Override
    public void write(ConfigurationUpdate update) {
        int nonce = update.parts().get(update.parts().size() - 1).nonce();
        if (nonce != ConfigurationUpdate.WITHOUT_NONCE) {
            // the nonce is recorded before the update is sent, since the acknowledgement may arrive at once
            synchronized (this) {
                session.recordUpdateSent(nonce, server.nowNanos());
            }
        }
        send(server.codec().encode(update));
    }

    private void send(byte[] message) {
        if (outbound.offer(message) == OutboundQueue.OfferResult.OVERFLOW) {
            closeAndLog("peer does not read its updates", ClosedBy.SERVER);
        }
    }

    @Override
    public void close(String reason) {
        closeAndLog(reason, ClosedBy.PEER);
    }

    /**
     * Closes the connection if the peer is unidentified and connected before {@code minOpenedAtNanos}, or if it has an unfinished
     * line that started before {@code minLineStartNanos}. An overdue acknowledgement does not close the connection: this
     * controller's own update channel is part of the delay, and may need longer for the updates of hundreds of proxies than any
     * of the proxies is silent.
     */
    synchronized void closeIfOverdue(long minOpenedAtNanos, long minLineStartNanos) {
        if (!session.isIdentified()) {
            if (isOpenedBefore(minOpenedAtNanos)) {
                closeAndLog("no identification within the timeout", ClosedBy.SERVER);
            }
            return;
        }
        if (framer.hasLineStartedBefore(minLineStartNanos)) {
            closeAndLog("message not finished within the timeout", ClosedBy.SERVER);
        }
    }

    /** Closes this connection to free its slot for a new connection. */
    void evict(int maxConnections) {
        closeAndLog(
                "evicted for a new connection, since the limit of " + maxConnections + " connections is reached",
                ClosedBy.SERVER);
    }

    boolean isIdentified() {
        return session.isIdentified();
    }

    boolean isOpenedBefore(long nanos) {
        return openedAtNanos - nanos < 0;
    }

    private String describe() {
        return session.describe() + " at " + getEndPoint().getRemoteSocketAddress();
    }

    private void closeAndLog(String reason, ClosedBy closedBy) {
        if (!outbound.close()) {
            return;
        }
        boolean isClosedByServer = closedBy == ClosedBy.SERVER;
        // unidentified peers have a log subject of their own, so that hundreds of them do not use up the log quota of
        // proxies
        if (!session.isIdentified()) {
            server.log()
                    .info(
                            "unidentified",
                            describe() + ": " + reason + (isClosedByServer ? "; closing the connection" : ""));
        } else if (isClosedByServer) {
            server.log().warn("stream", describe() + ": " + reason + "; closing the connection");
        } else {
            server.log().info("stream", describe() + ": " + reason);
        }
        getEndPoint().close();
    }
}
