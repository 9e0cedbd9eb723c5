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
 * The event queue of the control loop. Streams and discovery enqueue events on their own threads without blocking; the control
 * loop's thread drains all queued events in order. Load and request rate reports are bounded: the oldest are dropped. Thread-safe.
 */
public class EventQueue {
    /** Handles the events of the queue; called on the thread that drains it. */
    public interface EventHandler {
        /** Handles a message that arrived on this stream. */
        void onMessage(ProxyStream stream, InboundMessage message);

        /** Handles the end of this stream; no event of the stream follows. */
        void onStreamClosed(ProxyStream stream);

        /** Handles a complete host list from discovery, or changes to the previous one. */
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

        /** Whether the message is a report. Reports are periodic, so that one may be dropped; other messages are not sent again. */
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
     * Maximum number of queued reports: about half a minute of a large site's reports, a few MB. Beyond the limit the oldest
     * reports are dropped, since reports would otherwise fill the heap while the control loop is blocked.
     */
    public static final int MAX_QUEUED_REPORTS = 20_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition notEmpty = lock.newCondition();
    /** Queued reports, separate from all other events so that the oldest reports can be dropped. @GuardedBy("lock") */
    private final ArrayDeque<QueuedEvent> reports = new ArrayDeque<>();
    /** Queued events other than reports. @GuardedBy("lock") */
    private final ArrayDeque<QueuedEvent> otherEvents = new ArrayDeque<>();

    private long nextSequenceNumber; // @GuardedBy("lock")
    private long droppedReports; // @GuardedBy("lock")
    private final AtomicLong lastStreamNumber = new AtomicLong();
    private final List<Consumer<HostList>> hostListListeners = new CopyOnWriteArrayList<>();

    /** Adds a listener that receives each host list before the control loop does, on the thread that enqueues the list. */
    public void addHostListListener(Consumer<HostList> listener) {
        hostListListeners.add(listener);
    }

    /**
     * Returns the number of a new stream. Of two streams of a proxy the one with the higher number is used, regardless of which is
     * read first.
     */
    public long nextStreamNumber() {
        return lastStreamNumber.incrementAndGet();
    }

    /** Enqueues a message that arrived on a stream. */
    public void enqueueMessage(ProxyStream stream, InboundMessage message) {
        MessageReceived event = new MessageReceived(stream, message);
        if (event.isReport()) {
            enqueueReport(event);
        } else {
            enqueue(event);
        }
    }

    /** Enqueues the end of a stream. */
    public void enqueueStreamClosed(ProxyStream stream) {
        enqueue(new StreamClosed(stream));
    }

    /**
     * Enqueues a host list. A listener's exception is rethrown after the list has been enqueued, since discovery continues from the
     * version of this list and does not deliver its contents again.
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
            // the oldest report is dropped, since newer reports describe the current load better
            if (reports.size() == MAX_QUEUED_REPORTS) {
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
            append(event, otherEvents);
        } finally {
            lock.unlock();
        }
    }

    /** Appends an event to one of the two queues. The caller holds the lock. */
    private void append(Event event, ArrayDeque<QueuedEvent> queue) {
        queue.add(new QueuedEvent(nextSequenceNumber, event));
        nextSequenceNumber++;
        notEmpty.signal();
    }

    /** Waits until an event is queued, for {@code timeoutNanos} at most; returns whether the queue has an event. */
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

    /** Whether both queues are empty. The caller holds the lock. */
    private boolean isEmpty() {
        return reports.isEmpty() && otherEvents.isEmpty();
    }

    /** Passes all queued events to the handler, in order; returns the number of reports dropped since the previous call. */
    public long drainTo(EventHandler handler) {
        List<Event> events = new ArrayList<>();
        long dropped;
        lock.lock();
        try {
            while (!isEmpty()) {
                events.add(queueWithFirstEvent().poll().event());
            }
            dropped = droppedReports;
            droppedReports = 0;
        } finally {
            lock.unlock();
        }
        // the lock is not held during delivery, so that a slow handler does not block the streams
        events.forEach(event -> event.deliverTo(handler));
        return dropped;
    }

    /** Returns the queue that holds the oldest event. The caller holds the lock, and at least one event is queued. */
    private ArrayDeque<QueuedEvent> queueWithFirstEvent() {
        if (otherEvents.isEmpty()) {
            return reports;
        }
        if (reports.isEmpty()) {
            return otherEvents;
        }
        return reports.peek().sequenceNumber() < otherEvents.peek().sequenceNumber() ? reports : otherEvents;
    }
}
