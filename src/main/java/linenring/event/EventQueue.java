package linenring.event;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;

/**
 * Where streams and discovery meet the steward: they leave what has come, in order, and never wait; the
 * steward's one thread takes all that is there.
 */
public class EventQueue {
    /** What the steward does with each thing that was left. */
    public interface EventHandler {
        void onMessage(ProxyStream stream, InboundMessage message);

        void onStreamClosed(ProxyStream stream);

        void onHostList(HostList list);
    }

    private interface Left {
        void to(EventHandler taker);
    }

    /** What was left, and as the how manieth. */
    private record Numbered(long number, Left left) {}

    /** Of more waiting sums the oldest are dropped: half a minute of a large site's, a few MB. */
    private static final int SUMS_MOST = 20_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition something = lock.newCondition();
    private final ArrayDeque<Numbered> sums = new ArrayDeque<>(), others = new ArrayDeque<>(); // each in order
    private long number, dropped;
    private final AtomicLong streams = new AtomicLong();
    private final List<Consumer<HostList>> followers = new CopyOnWriteArrayList<>();

    /** Tells of each list and each change too, on the thread that brings it; for who must know addresses. */
    public void addHostListListener(Consumer<HostList> follower) {
        followers.add(follower);
    }

    /** The number of the next stream: of two of one proxy the one that was opened later counts, whichever is read first. */
    public long nextStreamNumber() {
        return streams.incrementAndGet();
    }

    public void enqueueMessage(ProxyStream from, InboundMessage what) {
        boolean isSum = what instanceof InboundMessage.LoadReport || what instanceof InboundMessage.RequestRateReport;
        leave(taker -> taker.onMessage(from, what), isSum ? sums : others);
    }

    public void enqueueStreamClosed(ProxyStream which) {
        leave(taker -> taker.onStreamClosed(which), others);
    }

    /** A follower's fault is thrown on, and the steward is told all the same: nobody tells this list again. */
    public void enqueueHostList(HostList list) {
        try {
            followers.forEach(f -> f.accept(list));
        } finally {
            leave(taker -> taker.onHostList(list), others);
        }
    }

    private void leave(Left what, ArrayDeque<Numbered> to) {
        lock.lock();
        try {
            if (sums.size() == SUMS_MOST && to == sums) { // the newest tell most
                sums.poll();
                dropped++;
            }
            to.add(new Numbered(number++, what));
            something.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Waits until something is there, or for so long at most; false if nothing came. */
    public boolean await(long nanos) throws InterruptedException {
        lock.lock();
        try {
            long left = nanos;
            while (isEmpty() && left > 0) {
                left = something.awaitNanos(left);
            }
            return !isEmpty();
        } finally {
            lock.unlock();
        }
    }

    private boolean isEmpty() {
        return sums.isEmpty() && others.isEmpty();
    }

    /** Hands over all that is there, in order; tells how many sums were dropped since the last time. */
    public long drainTo(EventHandler taker) {
        List<Left> all = new ArrayList<>();
        long lost;
        lock.lock();
        try {
            while (!isEmpty()) {
                boolean sum = others.isEmpty()
                        || !sums.isEmpty()
                                && sums.peek().number() < others.peek().number();
                all.add((sum ? sums : others).poll().left());
            }
            lost = dropped;
            dropped = 0;
        } finally {
            lock.unlock();
        }
        all.forEach(left -> left.to(taker));
        return lost;
    }
}
