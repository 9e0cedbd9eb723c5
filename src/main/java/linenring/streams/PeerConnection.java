package linenring.streams;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.Executor;
import linenring.exchange.Stream;
import linenring.message.Arrival;
import linenring.message.Codec;
import linenring.message.Decoded;
import linenring.message.Order;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.IteratingCallback;
import org.eclipse.jetty.util.thread.Invocable;

/** One connection at the steward's address: cuts what comes into lines, writes what is ordered, in order. */
final class PeerConnection extends AbstractConnection implements Stream {
    /** How far it has come. */
    enum Stage { STRANGER, COLLECTOR, PROXY }

    /** One for each of the few threads, and not for each connection. */
    private static final ThreadLocal<ByteBuffer> READ =
            ThreadLocal.withInitial(() -> BufferUtil.allocate(16 * 1024));
    private static final int TURN = 16;                      // reads, then the others have theirs
    private static final int LINE_LEAST = 512;               // most lines are shorter
    private static final int LINE_MOST = 1 << 20;            // the protocol's limit
    private static final int STRANGERS_LINE_MOST = 16 << 10; // a first message has about 100 bytes
    private static final int UNSENT_MOST = 128 << 10;        // what a peer may leave unread before it is let go

    private final StreamServer server;
    private byte[] line = new byte[LINE_LEAST];
    private int length;
    private volatile Stage stage = Stage.STRANGER;
    private Arrival.Joining joining; // what a proxy said first
    private volatile long heardAt = System.nanoTime();
    private long unansweredSince; // 0: no order waits for an answer
    private int lastMark = -1;
    private volatile boolean ending;
    private boolean silent;

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

    PeerConnection(EndPoint endPoint, Executor executor, StreamServer server) {
        super(endPoint, executor);
        this.server = server;
    }

    @Override
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
                heardAt = System.nanoTime();
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
        if (stage == Stage.PROXY) {
            server.exchange.ended(this);
        }
    }

    /** Takes bytes in; false once the connection is done with. */
    private synchronized boolean take(byte[] from, int start, int count) {
        if (ending) {
            return false;
        }
        int most = stage == Stage.STRANGER ? STRANGERS_LINE_MOST : LINE_MOST;
        for (int at = start, end = start + count; at < end; ) {
            int lf = at;
            while (lf < end && from[lf] != '\n') {
                lf++;
            }
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
                if (whole > 0 && !took(server.codec.arrival(line, whole))) {
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

    private synchronized void letLineGo() {
        if (line.length > LINE_LEAST) {
            server.mayHold(LINE_LEAST - line.length);
            line = new byte[LINE_LEAST];
        }
    }

    private boolean took(Decoded<Arrival> decoded) {
        if (decoded.value() == null) {
            return end("sends what can't be read, " + decoded.fault(), true);
        }
        Arrival a = decoded.value();
        if (a instanceof Arrival.Ping) {
            send(Codec.pong());
            return !ending;
        }
        if (a instanceof Arrival.Joining || a instanceof Arrival.Collector) {
            if (stage != Stage.STRANGER) {
                return end("says twice who is there", true);
            }
            stage = a instanceof Arrival.Joining ? Stage.PROXY : Stage.COLLECTOR;
            joining = a instanceof Arrival.Joining j ? j : null;
        } else if (stage == Stage.STRANGER) {
            return end("sends reports or answers before it says who is there", true);
        }
        if (a instanceof Arrival.Applied answer) {
            if (joining == null || answer.proxy() != joining.proxy()) {
                return end("answers for proxy " + answer.proxy(), true);
            }
            unansweredSince = answer.mark() == lastMark ? 0 : heardAt;
        }
        if (silent) { // it counts as left: it joins again, with what it holds
            silent = false;
            server.exchange.arrived(this,
                    new Arrival.Joining(joining.proxy(), joining.zone(), joining.usual(), false));
        }
        if (!(a instanceof Arrival.Collector)) {
            server.exchange.arrived(this, a);
        }
        return true;
    }

    @Override
    public void write(Order order) {
        int mark = order.parts().get(order.parts().size() - 1).mark();
        synchronized (this) {
            if (mark != Order.NO_MARK) {
                lastMark = mark;
                unansweredSince = unansweredSince == 0 ? System.nanoTime() : unansweredSince;
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
            full = unsentBytes + bytes.length > UNSENT_MOST;
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

    /** Judges its silence: a stranger's since then, and a proxy's while an answer is due. */
    synchronized void judge(long strangersSince, long silentSince, long deadSince) {
        long due = unansweredSince;
        if (stage == Stage.STRANGER && heardAt - strangersSince < 0) {
            end("says nothing", true);
        } else if (due != 0 && due - deadSince < 0 && heardAt - deadSince < 0) {
            end("answers nothing", true);
        } else if (due != 0 && due - silentSince < 0 && heardAt - silentSince < 0 && !silent) {
            silent = true;
            server.exchange.silent(this);
        }
    }

    boolean isStranger() {
        return stage == Stage.STRANGER;
    }

    boolean end(String why, boolean ours) {
        synchronized (unsent) {
            if (ending) {
                return false;
            }
            ending = true;
        }
        String who = switch (stage) {
            case PROXY -> "proxy " + joining.proxy();
            case COLLECTOR -> "collector";
            case STRANGER -> "stranger";
        };
        who += " at " + getEndPoint().getRemoteSocketAddress();
        if (ours) {
            server.log.warn("stream", who + " " + why + ": closed");
        } else if (stage != Stage.STRANGER) {
            server.log.info("stream", who + ": " + why);
        }
        getEndPoint().close();
        return false;
    }
}
