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
 * The queue of events into the control loop. Streams and discovery enqueue on their own threads and never wait; the control
 * loop's thread takes all events that are queued, in their order. Thread-safe.
 */
public class EventQueue {
    /** What the control loop does with each event. Called on the thread that drains the queue. */
    public interface EventHandler {
        /** A message arrived on this stream. */
        void onMessage(ProxyStream stream, InboundMessage message);

        /** This stream has ended; nothing arrives on it any more. */
        void onStreamClosed(ProxyStream stream);

        /** Discovery has a new list of hosts, or changes to the one before. */
        void onHostList(HostList list);
    }

    private sealed interface Event {
        void deliverTo(EventHandler handler);
    }

    private record MessageReceived(ProxyStream stream, InboundMessage message) implements Event {
        @Override
        public void deliverTo(EventHandler handler) {
            handler.onMessage(stream, message);
        }

        /** Reports add up over time, so that one may be dropped; anything else that is lost never comes again. */
        boolean isReport() {
            return message instanceof InboundMessage.LoadReport || message instanceof InboundMessage.RequestRateReport;
        }
    }

    private record StreamClosed(ProxyStream stream) implements Event {
        @Override
        public void deliverTo(EventHandler handler) {
            handler.onStreamClosed(stream);
        }
    }

    private record HostListChanged(HostList list) implements Event {
        @Override
        public void deliverTo(EventHandler handler) {
            handler.onHostList(list);
        }
    }

    private record QueuedEvent(long sequenceNumber, Event event) {}

    /**
     * Where more reports are queued the oldest are dropped. A loop that is held up would otherwise fill the heap: these are half
     * a minute of a large site's reports, a few MB.
     */
    public static final int MAX_QUEUED_REPORTS = 20_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition notEmpty = lock.newCondition();
    /** Reports are queued apart from the rest, so that the oldest of them can be dropped. @GuardedBy("lock") */
    private final ArrayDeque<QueuedEvent> reports = new ArrayDeque<>();
    /** All other events. @GuardedBy("lock") */
    private final ArrayDeque<QueuedEvent> others = new ArrayDeque<>();

    private long nextSequenceNumber; // @GuardedBy("lock")
    private long droppedReports; // @GuardedBy("lock")
    private final AtomicLong streamNumbers = new AtomicLong();
    private final List<Consumer<HostList>> hostListListeners = new CopyOnWriteArrayList<>();

    /** Calls the listener with each list of hosts too, on the thread that enqueues it and before the control loop has it. */
    public void addHostListListener(Consumer<HostList> listener) {
        hostListListeners.add(listener);
    }

    /** A number for a new stream: of two streams of one proxy the one with the higher number counts, whichever is read first. */
    public long nextStreamNumber() {
        return streamNumbers.incrementAndGet();
    }

    /** Queues a message that arrived on a stream. */
    public void enqueueMessage(ProxyStream stream, InboundMessage message) {
        MessageReceived event = new MessageReceived(stream, message);
        if (event.isReport()) {
            enqueueReport(event);
        } else {
            enqueue(event);
        }
    }

    /** Queues the end of a stream. */
    public void enqueueStreamClosed(ProxyStream stream) {
        enqueue(new StreamClosed(stream));
    }

    /**
     * Queues a list of hosts. A listener's exception is thrown on, with the list queued all the same: discovery goes on from this
     * list's version, so that what it says is never said again.
     */
    public void enqueueHostList(HostList list) {
        try {
            hostListListeners.forEach(listener -> listener.accept(list));
        } finally {
            enqueue(new HostListChanged(list));
        }
    }

    private void enqueueReport(Event report) {
        lock.lock();
        try {
            if (reports.size() == MAX_QUEUED_REPORTS) { // the newest say most about the present
                reports.poll();
                droppedReports++;
            }
            append(report, reports);
        } finally {
            lock.unlock();
        }
    }

    private void enqueue(Event event) {
        lock.lock();
        try {
            append(event, others);
        } finally {
            lock.unlock();
        }
    }

    /** Called with the lock held. */
    private void append(Event event, ArrayDeque<QueuedEvent> queue) {
        queue.add(new QueuedEvent(nextSequenceNumber, event));
        nextSequenceNumber++;
        notEmpty.signal();
    }

    /** Waits until an event is queued, for {@code timeoutNanos} at most; false if none is. */
    public boolean await(long timeoutNanos) throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = timeoutNanos;
            while (isEmpty() && remainingNanos > 0) {
                remainingNanos = notEmpty.awaitNanos(remainingNanos);
            }
            return !isEmpty();
        } finally {
            lock.unlock();
        }
    }

    /** Called with the lock held. */
    private boolean isEmpty() {
        return reports.isEmpty() && others.isEmpty();
    }

    /** Hands all queued events to the handler, in order; returns how many reports were dropped since the last time. */
    public long drainTo(EventHandler handler) {
        List<Event> events = new ArrayList<>();
        long dropped;
        lock.lock();
        try {
            while (!isEmpty()) {
                events.add(queueOfFirst().poll().event());
            }
            dropped = droppedReports;
            droppedReports = 0;
        } finally {
            lock.unlock();
        }
        events.forEach(
                event -> event.deliverTo(handler)); // without the lock, or a slow handler would hold up the streams
        return dropped;
    }

    /** The queue whose first event came first. Called with the lock held, and only while one is queued. */
    private ArrayDeque<QueuedEvent> queueOfFirst() {
        if (others.isEmpty()) {
            return reports;
        }
        if (reports.isEmpty()) {
            return others;
        }
        return reports.peek().sequenceNumber() < others.peek().sequenceNumber() ? reports : others;
    }
}
