package linenring.stream;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
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
import org.eclipse.jetty.util.IteratingCallback;
import org.eclipse.jetty.util.thread.Invocable;

/** One connection at the steward's address: cuts what comes into lines, writes what is ordered, in order. */
final class PeerConnection extends AbstractConnection implements ProxyStream {
    /** How far it has come. */
    enum Stage {
        STRANGER,
        COLLECTOR,
        PROXY
    }

    /** One for each of the few threads, and not for each connection. */
    private static final ThreadLocal<ByteBuffer> READ = ThreadLocal.withInitial(() -> BufferUtil.allocate(16 * 1024));

    private static final int TURN = 16; // reads, then the others have theirs
    private static final int LINE_LEAST = 512; // most lines are shorter
    private static final int LINE_MOST = 1 << 20; // the protocol's limit
    private static final int STRANGERS_LINE_MOST = 16 << 10; // a first message has about 100 bytes
    private static final int UNSENT_MOST = 128 << 10; // what a peer may leave unread before it is let go

    private static final int MARKS_MOST = 1024; // unanswered; so many are not sent in half a minute
    private static final long CLOCKS_NS = 1_000_000_000; // how far another clock may be off in a time it measures

    /** A mark that was sent, and when. */
    private record Mark(int mark, long at) {}

    private final StreamServer server;
    private final long number;
    private final long openedAt = System.nanoTime();
    private byte[] line = new byte[LINE_LEAST];
    private int length;
    private long begunAt; // when the line that is not at its end began
    private volatile Stage stage = Stage.STRANGER;
    private InboundMessage.Subscribe joining; // what a proxy said first
    private final ArrayDeque<Mark> unanswered = new ArrayDeque<>(); // oldest first
    private volatile boolean ending;

    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private int unsentBytes;
    private final IteratingCallback flusher = new IteratingCallback() {
        @Override
        protected Action process() {
            ByteBuffer next;
            synchronized (unsent) {
                next = unsent.peek();
            }
            if (next == null) {
                return Action.IDLE;
            }
            getEndPoint().write(this, next);
            return Action.SCHEDULED;
        }

        @Override
        protected void onSuccess() {
            synchronized (unsent) {
                unsentBytes -= unsent.poll().capacity();
            }
        }

        @Override
        protected void onCompleteFailure(Throwable cause) {
            end("broke while it was written to", false);
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    };

    PeerConnection(EndPoint endPoint, Executor executor, StreamServer server, long number) {
        super(endPoint, executor);
        this.server = server;
        this.number = number;
    }

    @Override
    public long number() {
        return number;
    }

    @Override
    @SuppressWarnings("deprecation") // the selector asks it still, and would hand reading to another thread
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING; // reading leaves things in the exchange and never waits
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
            ByteBuffer read = READ.get();
            for (int i = 0; i < TURN; i++) {
                BufferUtil.clear(read); // filling adds at its limit
                int got = getEndPoint().fill(read);
                if (got < 0) {
                    end("has ended", false);
                    return;
                }
                if (got == 0) {
                    break;
                }
                if (!take(read.array(), read.arrayOffset() + read.position(), got)) {
                    return;
                }
            }
            fillInterested();
        } catch (java.io.IOException e) {
            end("was reset", false);
        } catch (RuntimeException e) { // no fault in one connection's handling reaches another
            end("fault: " + e, true);
        }
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        end("was reset", false);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        end("was reset", false);
        letLineGo();
        server.closed(this);
        synchronized (this) { // what is being taken in is told first: no end overtakes its joining
            if (stage == Stage.PROXY) {
                server.exchange.ended(this);
            }
        }
    }

    /** Takes bytes in; false once the connection is done with: from then on nothing of it is told but its end. */
    private synchronized boolean take(byte[] from, int start, int count) {
        if (ending) {
            return false;
        }
        int most = stage == Stage.STRANGER ? STRANGERS_LINE_MOST : LINE_MOST;
        for (int at = start, end = start + count; at < end; ) {
            while (length == 0 && at < end && isBlank(from[at])) { // nothing has begun
                at++;
            }
            int lf = at;
            while (lf < end && (from[lf] < 0 || from[lf] >= ' ' || isBlank(from[lf])) && from[lf] != '\n') {
                lf++;
            }
            if (at < end && (length == 0 && from[at] != '{' || lf < end && from[lf] != '\n')) {
                return end("sends what can't be read, text: no line of JSON begins or goes on so", true);
            }
            begunAt = length == 0 ? System.nanoTime() : begunAt;
            int more = lf - at;
            if (length + more > most) {
                return end("sends a line of over " + most + " bytes", true);
            }
            if (length + more > line.length) {
                int size = Math.min(most, Math.max(length + more, 2 * line.length));
                if (!server.mayHold(size - line.length)) {
                    return end("is one of too many with a long line begun", true);
                }
                line = Arrays.copyOf(line, size);
            }
            System.arraycopy(from, at, line, length, more);
            length += more;
            at = lf + 1;
            if (lf < end) {
                int whole = length;
                length = 0;
                if (!took(server.codec.arrival(line, whole))) {
                    return false;
                }
                most = stage == Stage.STRANGER ? STRANGERS_LINE_MOST : LINE_MOST;
            }
        }
        if (length == 0) {
            letLineGo();
        }
        return true;
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\n' || b == '\r' || b == '\t';
    }

    private synchronized void letLineGo() {
        if (line.length > LINE_LEAST) {
            server.mayHold(LINE_LEAST - line.length);
            line = new byte[LINE_LEAST];
        }
    }

    /** False once the connection is done with. */
    private boolean took(DecodeResult<InboundMessage> decoded) {
        boolean known = stage != Stage.STRANGER;
        InboundMessage a = decoded.value();
        if (a == null) {
            return known && decoded.fault().reached() != DecodeError.Reached.TEXT
                    ? spoilt(decoded.fault().toString())
                    : end("sends what can't be read, " + decoded.fault(), true);
        }
        if (a instanceof InboundMessage.Ping) {
            send(Codec.pong());
            return !ending;
        }
        boolean says = a instanceof InboundMessage.Subscribe || a instanceof InboundMessage.Collector;
        if (!known && !says) {
            return end("sends reports or answers before it says who is there", true);
        }
        String wrong = !known ? null : says ? "it has said already who is there" : outOfPlace(a);
        if (wrong != null) {
            return spoilt(wrong);
        }
        if (!known) {
            joining = a instanceof InboundMessage.Subscribe j ? j : null;
            stage = joining != null ? Stage.PROXY : Stage.COLLECTOR;
        }
        if (!(a instanceof InboundMessage.Collector)) {
            server.exchange.arrived(this, a);
        }
        return true;
    }

    /** What is wrong with it on this connection, or null; an answer frees its mark and those before it. */
    private String outOfPlace(InboundMessage a) {
        if (joining == null) {
            return a instanceof InboundMessage.Acknowledgement ? "a collector answers no order" : null;
        } else if (a instanceof InboundMessage.Acknowledgement answer) {
            Mark open = answer.proxy() != joining.proxy()
                    ? null
                    : unanswered.stream()
                            .filter(m -> m.mark() == answer.mark())
                            .findFirst()
                            .orElse(null);
            if (open == null) {
                return "no answer to mark " + answer.mark() + " is due from proxy " + answer.proxy();
            } else if (answer.tookMs() * 1e6 > System.nanoTime() - open.at() + CLOCKS_NS) {
                return "field ms: " + answer.tookMs() + " is longer ago than the order";
            }
            while (unanswered.poll() != open) {
                // it is applied too
            }
            return null;
        }
        return a instanceof InboundMessage.RequestRateReport usage && usage.proxy() == joining.proxy()
                ? null
                : "it is not for proxy " + joining.proxy() + " to report";
    }

    /** Drops one message; those around it count. */
    private boolean spoilt(String why) {
        server.log.warn("spoilt", who() + " sends a message that is dropped, " + why);
        return true;
    }

    @Override
    public void write(ConfigurationUpdate order) {
        int mark = order.parts().get(order.parts().size() - 1).mark();
        synchronized (this) {
            if (mark != ConfigurationUpdate.NO_MARK) {
                if (unanswered.size() == MARKS_MOST) {
                    unanswered.poll();
                }
                unanswered.add(new Mark(mark, System.nanoTime()));
            }
        }
        send(server.codec.order(order));
    }

    private void send(byte[] bytes) {
        boolean full;
        synchronized (unsent) {
            if (ending) {
                return;
            }
            full = unsentBytes > UNSENT_MOST; // one message may be larger: it holds as many lines as there are hosts
            if (!full) {
                unsent.add(ByteBuffer.wrap(bytes));
                unsentBytes += bytes.length;
            }
        }
        if (full) {
            end("reads nothing", true);
        } else {
            flusher.iterate();
        }
    }

    @Override
    public void close(String why) {
        end(why, false);
    }

    /**
     * Judges a stranger's silence and a begun line's. An answer that is due tells nothing of its proxy: our own channel,
     * which lies behind this stream, may take longer over the orders of hundreds than anyone is silent.
     */
    synchronized void judge(long strangersSince, long silentSince) {
        if (stage == Stage.STRANGER) {
            if (openedAt - strangersSince < 0) {
                end("does not say in time who is there", true);
            }
            return;
        }
        if (length > 0 && begunAt - silentSince < 0) {
            end("leaves a message without its end", true);
        }
    }

    boolean isStranger() {
        return stage == Stage.STRANGER;
    }

    boolean isOpenSince(long then) {
        return openedAt - then < 0;
    }

    private String who() {
        return switch (stage) {
                    case PROXY -> "proxy " + joining.proxy();
                    case COLLECTOR -> "collector";
                    case STRANGER -> "stranger";
                }
                + " at " + getEndPoint().getRemoteSocketAddress();
    }

    boolean end(String why, boolean ours) {
        synchronized (unsent) {
            if (ending) {
                return false;
            }
            ending = true;
        }
        if (stage == Stage.STRANGER) { // of whom there may be hundreds: their lines leave room for the others'
            server.log.info("stranger", who() + " " + why + (ours ? ": closed" : ""));
        } else if (ours) {
            server.log.warn("stream", who() + " " + why + ": closed");
        } else {
            server.log.info("stream", who() + ": " + why);
        }
        getEndPoint().close();
        return false;
    }
}
