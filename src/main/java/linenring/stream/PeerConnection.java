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
 * One connection of a proxy, a collector, or a peer that has not said which it is. The selector's thread reads; the control
 * loop writes and closes; the server's timer closes what is overdue. What is read is guarded by this connection's monitor.
 */
final class PeerConnection extends AbstractConnection implements ProxyStream {
    /** One buffer for each selector thread, of which there are few, and not for each connection. */
    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> BufferUtil.allocate(16 * 1024));

    /** After so many reads the other connections have their turn. */
    private static final int MAX_READS_PER_TURN = 16;

    /** The protocol's limit. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    /** A first message has about 100 bytes; whoever has not sent it gets no room for more. */
    private static final int MAX_UNIDENTIFIED_LINE_BYTES = 16 << 10;

    /** Which side ends the connection: that decides how it is logged. */
    private enum ClosedBy {
        PEER,
        SERVER
    }

    private final StreamServer server;
    private final long number;
    private final long openedAtNanos;
    private final PeerSession session = new PeerSession(); // changed under "this"
    private final LineFramer framer; // @GuardedBy("this")
    private final OutboundQueue outbound;

    PeerConnection(EndPoint endPoint, Executor executor, StreamServer server, long number) {
        super(endPoint, executor);
        this.server = server;
        this.number = number;
        openedAtNanos = server.nowNanos();
        framer = new LineFramer(server.lineMemory(), server::nowNanos, MAX_UNIDENTIFIED_LINE_BYTES, this::onLine);
        outbound = new OutboundQueue(endPoint, () -> closeAndLog("could not be written to", ClosedBy.PEER));
    }

    @Override
    public long number() {
        return number;
    }

    @Override
    @SuppressWarnings("deprecation") // the selector still asks for it, and would hand reading to another thread
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING; // reading adds to the event queue and never waits
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
            if (readTurn()) {
                fillInterested();
            }
        } catch (IOException failure) {
            closeAndLog("was reset", ClosedBy.PEER);
        } catch (RuntimeException failure) { // a fault in handling one connection must not reach the selector's others
            closeAndLog("fault: " + failure, ClosedBy.SERVER);
        }
    }

    /** Reads what is there, up to a turn's worth; false once the connection is done with. */
    private boolean readTurn() throws IOException {
        ByteBuffer buffer = READ_BUFFER.get();
        for (int i = 0; i < MAX_READS_PER_TURN; i++) {
            BufferUtil.clear(buffer); // filling appends at the buffer's limit
            int count = getEndPoint().fill(buffer);
            if (count < 0) {
                closeAndLog("has ended", ClosedBy.PEER);
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
        closeAndLog("was reset", ClosedBy.PEER);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closeAndLog("was reset", ClosedBy.PEER);
        synchronized (this) {
            framer.releaseBuffer();
        }
        server.closed(this);
        synchronized (this) { // a line that is being handled is queued first: no end overtakes its subscription
            if (session.state() == PeerSession.State.PROXY) {
                server.eventQueue().enqueueStreamClosed(this);
            }
        }
    }

    /** Takes bytes in; false once the connection is done with: from then on only its end is reported. */
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

    /** False once the connection is done with. */
    private boolean onLine(byte[] line, int length) throws ConnectionRejectedException {
        try {
            InboundMessage message = decode(line, length);
            if (message instanceof InboundMessage.Ping) {
                send(Codec.pong());
                return !outbound.isClosed();
            }
            handle(message);
        } catch (MessageRejectedException failure) {
            server.log().warn("invalid", describe() + " sends a message that is dropped, " + failure.getMessage());
        }
        return true;
    }

    /** Who is known may err in one message; whoever sends what is no message at all is none of our peers. */
    private InboundMessage decode(byte[] line, int length)
            throws ConnectionRejectedException, MessageRejectedException {
        DecodeResult<InboundMessage> decoded = server.codec().decodeInbound(line, length);
        if (decoded instanceof DecodeResult.Failed<InboundMessage> failed) {
            DecodeError error = failed.error();
            if (session.isIdentified() && error.stage() != DecodeError.Stage.TEXT) {
                throw new MessageRejectedException(error.toString());
            }
            throw new ConnectionRejectedException("sends unreadable data, " + error);
        }
        return decoded.orElseThrow();
    }

    private void handle(InboundMessage message) throws ConnectionRejectedException, MessageRejectedException {
        session.accept(message, server.nowNanos());
        framer.setMaxLineBytes(MAX_LINE_BYTES); // whoever was accepted is identified
        if (!(message instanceof InboundMessage.Collector)) {
            server.eventQueue().enqueueMessage(this, message);
        }
    }

    @Override
    public void write(ConfigurationUpdate update) {
        int nonce = update.parts().get(update.parts().size() - 1).nonce();
        if (nonce != ConfigurationUpdate.WITHOUT_NONCE) {
            synchronized (this) { // before it is sent: its acknowledgement may come at once
                session.recordUpdateSent(nonce, server.nowNanos());
            }
        }
        send(server.codec().encode(update));
    }

    private void send(byte[] message) {
        if (outbound.offer(message) == OutboundQueue.OfferResult.OVERFLOW) {
            closeAndLog("reads nothing", ClosedBy.SERVER);
        }
    }

    @Override
    public void close(String why) {
        closeAndLog(why, ClosedBy.PEER);
    }

    /**
     * Closes the connection where the peer has not identified itself although it was opened before the one time, or leaves
     * a line unfinished that began before the other. An overdue acknowledgement is no reason: our own channel lies behind
     * this stream, and may take longer over the updates of hundreds of proxies than any of them is silent.
     */
    synchronized void closeIfOverdue(long identifiedSinceNanos, long lineSinceNanos) {
        if (!session.isIdentified()) {
            if (isOpenedBefore(identifiedSinceNanos)) {
                closeAndLog("does not identify itself in time", ClosedBy.SERVER);
            }
            return;
        }
        if (framer.hasLineStartedBefore(lineSinceNanos)) {
            closeAndLog("leaves a message unfinished", ClosedBy.SERVER);
        }
    }

    /** Another connection needs this one's place. */
    void evict(int maxConnections) {
        closeAndLog("makes room, " + maxConnections + " connections are open", ClosedBy.SERVER);
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

    private void closeAndLog(String why, ClosedBy closedBy) {
        if (!outbound.close()) {
            return;
        }
        boolean byServer = closedBy == ClosedBy.SERVER;
        if (!session.isIdentified()) { // a subject of its own: hundreds of these must not use up the others' lines
            server.log().info("unidentified", describe() + " " + why + (byServer ? ": closed" : ""));
        } else if (byServer) {
            server.log().warn("stream", describe() + " " + why + ": closed");
        } else {
            server.log().info("stream", describe() + ": " + why);
        }
        getEndPoint().close();
    }
}
