package linenring.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import linenring.message.Arrival;
import linenring.message.HostList;

/**
 * Where streams and discovery meet the steward: they leave what has come, in order, and never wait; the
 * steward's one thread takes all that is there.
 */
public final class Exchange {
    /** What the steward does with each thing that was left. */
    public interface Taker {
        void arrived(Stream from, Arrival what);

        void ended(Stream which);

        void listed(HostList list);
    }

    private interface Left {
        void to(Taker taker);
    }

    /** Sums beyond this many waiting things are dropped: half a minute of a large site's, a few MB. */
    private static final int SUMS_MOST = 20_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition something = lock.newCondition();
    private ArrayDeque<Left> waiting = new ArrayDeque<>();
    private long dropped;
    private final List<Consumer<HostList>> followers = new CopyOnWriteArrayList<>();

    /** Tells of each list and each change too, on the thread that brings it; for who must know addresses. */
    public void follow(Consumer<HostList> follower) {
        followers.add(follower);
    }

    public void arrived(Stream from, Arrival what) {
        boolean sums = what instanceof Arrival.HostSums || what instanceof Arrival.Usage;
        leave(taker -> taker.arrived(from, what), sums);
    }

    public void ended(Stream which) {
        leave(taker -> taker.ended(which), false);
    }

    public void listed(HostList list) {
        followers.forEach(f -> f.accept(list));
        leave(taker -> taker.listed(list), false);
    }

    private void leave(Left what, boolean mayDrop) {
        lock.lock();
        try {
            if (mayDrop && waiting.size() >= SUMS_MOST) {
                dropped++;
                return;
            }
            waiting.add(what);
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
            while (waiting.isEmpty() && left > 0) {
                left = something.awaitNanos(left);
            }
            return !waiting.isEmpty();
        } finally {
            lock.unlock();
        }
    }

    /** Hands over all that is there; tells how many sums were dropped since the last time. */
    public long drain(Taker taker) {
        List<Left> all;
        long lost;
        lock.lock();
        try {
            all = new ArrayList<>(waiting);
            waiting.clear();
            lost = dropped;
            dropped = 0;
        } finally {
            lock.unlock();
        }
        all.forEach(left -> left.to(taker));
        return lost;
    }
}
