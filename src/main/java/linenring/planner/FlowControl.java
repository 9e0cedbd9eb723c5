package linenring.planner;

import java.util.Collection;
import java.util.List;
import linenring.planner.PlannerSettings.Channel;

/**
 * Flow control of the channel to the proxies: decides whether a write is allowed now, and accounts for the entries
 * that are written. Inputs: the channel's stated rate (entries per second), queue limit (entries), message limit
 * (messages to one proxy within a time span) and transit times (ms); the queue estimate of {@link ChannelLedger}; the
 * round-trip time of messages (ms, measured from acknowledgements).
 *
 * <p>Flow control guards against three failures:
 *
 * <ul>
 *   <li>A queue over its limit violates the channel's contract. So the cost of each write is computed before the
 *       write.
 *   <li>A drain queued behind seconds of ordinary entries arrives after the host has stopped. So ordinary entries may
 *       use a small part of the queue only, and none are written while a drain waits.
 *   <li>A slow or frozen proxy would delay the updates of all other proxies. So the window of a proxy is ignored once
 *       its acknowledgement is long overdue.
 * </ul>
 *
 * <p>Where the stated rate is too high, measured round-trip times grow, and all writes except drains are blocked
 * while the queue is long.
 */
final class FlowControl {
    /** Weight of a new round-trip time in the moving average, which spans about five acknowledgements. */
    private static final double ROUND_TRIP_SMOOTHING = 0.2;
    /** Number of unacknowledged messages that a proxy's window always allows, as in ESPRES (see docs/design.md). */
    private static final int WINDOW_MESSAGES = 5;
    /**
     * A proxy's window is ignored once its oldest unacknowledged message is older than this number of round-trip
     * times.
     */
    private static final double OVERDUE_ROUND_TRIPS = 3;
    /**
     * A message is overdue only after this number of longest transit times: one for the message and one for its
     * acknowledgement.
     */
    private static final double OVERDUE_TRANSITS = 2;
    /**
     * Limits the queueing delay of ordinary entries: the queue may hold 15 s of entries, and drains queue behind
     * them.
     */
    private static final double MAX_ORDINARY_QUEUE_DELAY_MS = 2000;
    /**
     * Limits the queueing delay of ordinary entries to this share of the drain grace: behind 2 s of entries a drain
     * missed a grace of 1.5 s.
     */
    private static final double MAX_ORDINARY_QUEUE_DELAY_SHARE_OF_GRACE = 0.5;
    /**
     * The limit on ordinary entries always allows this number of one-entry messages to each proxy, however slow the
     * channel is.
     */
    private static final double MIN_MESSAGES_PER_PROXY = 2;
    /**
     * Round-trip times above this share of the drain grace mean that a drain behind other entries would arrive too
     * late.
     */
    private static final double SLOW_ROUND_TRIP_SHARE_OF_GRACE = 0.5;
    /** The channel counts as slow only when the queue estimate exceeds this share of the queue limit. */
    private static final double SLOW_QUEUE_SHARE = 0.25;
    /**
     * Minimum gap between messages, as a multiple of the time that the channel takes to send the overhead of one
     * message to each proxy. Message overhead thus uses at most a quarter of the channel.
     */
    private static final double GAP_PER_OVERHEAD_TIME = 4;
    /**
     * Share of the message limit that spaced messages may use; the remaining messages are reserved for urgent writes.
     */
    private static final double SPACED_MESSAGE_SHARE = 0.6;
    /** Largest piece of a split sub-update, as a share of the queue that ordinary entries may use. */
    private static final double PIECE_SHARE = 0.5;
    /** Tolerance on the span of the message limit, which is given in whole milliseconds. */
    private static final double ROUNDING_MS = 1;
    /** Number of distinct nonces: a nonce has 16 bits on the wire. */
    private static final int NONCE_COUNT = 65_536;

    private final Channel channel;
    private final ChannelLedger ledger;
    private final Fleet fleet;
    private final TableRegistry registry;
    private final DecisionTime time;
    private final Commands commands;
    private double roundTripMs;
    private boolean isDrainWaiting;
    private int nonce;

    FlowControl(
            Channel channel,
            ChannelLedger ledger,
            Fleet fleet,
            TableRegistry registry,
            DecisionTime time,
            Commands commands) {
        this.channel = channel;
        this.ledger = ledger;
        this.fleet = fleet;
        this.registry = registry;
        this.time = time;
        this.commands = commands;
        roundTripMs = 2 * channel.usualTransitMs();
    }

    double roundTripMs() {
        return roundTripMs;
    }

    // ---- cost of a write

    /**
     * Cost of entries to a proxy, in channel entries: the first entries of a message also incur the message overhead.
     */
    double cost(ProxyState proxy, double entries) {
        return entries + (proxy.hasMessageBeingWritten() ? 0 : channel.messageCost());
    }

    /**
     * Reserves queue capacity for entries that are being written to a proxy, and adds them to the proxy's next
     * message.
     */
    void reserve(ProxyState proxy, double entries) {
        ledger.reserve(cost(proxy, entries));
        proxy.addEntries(entries);
    }

    /** Estimated number of entries in the channel queue, including those that are being written. */
    double queuedEntries() {
        return ledger.queuedEntries();
    }

    /** Whether a write of this cost (channel entries) keeps the channel queue within its limit. */
    boolean fitsInQueue(double cost) {
        return ledger.queuedEntries() + cost <= channel.maxQueuedEntries();
    }

    // ---- admission of writes

    /** Sets whether a drain waits for room in the queue; while one does, all writes of lower priority are blocked. */
    void holdWritesForDrains(boolean mustHold) {
        isDrainWaiting = mustHold;
    }

    /** Whether this number of entries may be written to each of the given proxies now, at the given priority. */
    boolean mayWrite(Collection<ProxyState> proxies, double entries, WritePriority priority) {
        double cost =
                proxies.stream().mapToDouble(proxy -> cost(proxy, entries)).sum();
        boolean isDrain = priority == WritePriority.DRAIN;
        return (isDrain || (!isDrainWaiting && !isSlow()))
                && ledger.queuedEntries() + cost <= queueLimit(priority, proxies.size())
                && isUnderMessageLimit(proxies, priority);
    }

    /**
     * Whether the channel is slower than stated: acknowledgements take long, so that a drain queued behind other
     * entries would arrive too late.
     */
    private boolean isSlow() {
        return roundTripMs > SLOW_ROUND_TRIP_SHARE_OF_GRACE * channel.drainGraceMs()
                && ledger.queuedEntries() > SLOW_QUEUE_SHARE * channel.maxQueuedEntries();
    }

    /**
     * Limit on queued entries for a write of the given priority. Ordinary entries are also limited to the shorter of
     * two seconds and half of the drain grace of queueing delay, however long the queue may be.
     */
    private double queueLimit(WritePriority priority, int proxyCount) {
        double maxEntries = priority.maxQueueShare() * channel.maxQueuedEntries();
        if (priority != WritePriority.ORDINARY) {
            return maxEntries;
        }
        double maxDelayMs =
                Math.min(MAX_ORDINARY_QUEUE_DELAY_MS, channel.drainGraceMs() * MAX_ORDINARY_QUEUE_DELAY_SHARE_OF_GRACE);
        double minEntries = MIN_MESSAGES_PER_PROXY * proxyCount * (1 + channel.messageCost());
        return Math.min(maxEntries, Math.max(maxDelayMs * channel.entriesPerMs(), minEntries));
    }

    private boolean isUnderMessageLimit(Collection<ProxyState> proxies, WritePriority priority) {
        double maxMessages = priority.maxMessageShare() * channel.maxMessages();
        return maxMessages == 0
                || proxies.stream()
                        .allMatch(proxy ->
                                proxy.hasMessageBeingWritten() || messagesInLimitSpan(proxy) + 1 <= maxMessages);
    }

    /** Number of messages sent to a proxy within the current span of the message limit. */
    int messagesInLimitSpan(ProxyState proxy) {
        return proxy.messagesSentSince(time.nowMs() - channel.messageLimitSpanMs() - ROUNDING_MS);
    }

    /**
     * Whether the ejection, restore or weight reduction of a host may be written regardless of the proxies' windows.
     */
    boolean mayBypassWindows(Host host) {
        return registry.tablesHolding(host).stream().allMatch(table -> hasMessageGapElapsed(table, 0))
                && mayWrite(registry.proxiesHolding(host), 1, WritePriority.URGENT);
    }

    /**
     * Whether enough time has passed since the table's last write for another message to its proxies. The gap bounds
     * the share of the channel that message overhead uses, and lets changes accumulate: without it each input would
     * cause a sub-update of its own. No gap is needed if all proxies of the table receive a message in this
     * reconciliation anyway.
     */
    boolean hasMessageGapElapsed(EndpointTable table, double minGapMs) {
        double overheadGapMs =
                GAP_PER_OVERHEAD_TIME * fleet.joinedProxies().size() * channel.messageCost() / channel.entriesPerMs();
        return time.nowMs() - table.writtenAtMs() >= Math.max(minGapMs, overheadGapMs)
                || registry.proxiesUsing(table).stream().allMatch(ProxyState::hasMessageBeingWritten);
    }

    /**
     * Gap between messages, in milliseconds, at which a proxy stays within its message limit with a reserve; 0 if
     * there is no limit.
     */
    double messageGapMs() {
        return channel.maxMessages() > 0
                ? channel.messageLimitSpanMs() / (SPACED_MESSAGE_SHARE * channel.maxMessages())
                : 0;
    }

    /**
     * Whether this number of entries fits into the proxy's window of unacknowledged messages. The window always
     * allows 5 messages; beyond that it allows the entries that the channel can send to the proxy in one round-trip
     * time. An overdue proxy is exempt.
     */
    boolean hasRoomInWindow(ProxyState proxy, double entries, EndpointTable table) {
        return proxy.unacknowledgedMessages() < WINDOW_MESSAGES
                || proxy.unacknowledgedEntries() + entries
                        <= roundTripMs
                                * channel.entriesPerMs()
                                / registry.proxiesUsing(table).size()
                || isOverdue(proxy);
    }

    /**
     * Whether the proxy's oldest unacknowledged message is overdue. Prevents one slow, frozen or unreachable proxy
     * from blocking the sub-updates of all proxies.
     */
    private boolean isOverdue(ProxyState proxy) {
        double overdueMs = Math.max(OVERDUE_ROUND_TRIPS * roundTripMs, OVERDUE_TRANSITS * channel.longestTransitMs());
        return time.nowMs() - proxy.oldestUnacknowledgedSentAtMs() > overdueMs;
    }

    /**
     * Largest number of entries to each proxy in one piece of a sub-update. A sub-update that exceeds the queue limit
     * could never be sent at once.
     */
    long maxPieceEntries(EndpointTable table) {
        int proxyCount = Math.max(1, registry.proxiesUsing(table).size());
        double entries = PIECE_SHARE * queueLimit(WritePriority.ORDINARY, proxyCount) / proxyCount;
        return (long) Math.max(1, entries - channel.messageCost());
    }

    // ---- acknowledgements

    /**
     * Closes the messages of this reconciliation: requests their acknowledgement, by one nonce for all, and records
     * each as sent.
     */
    void requestAcknowledgements() {
        List<ProxyState> affectedProxies = fleet.joinedProxies().stream()
                .filter(ProxyState::hasMessageBeingWritten)
                .toList();
        ledger.update(time.nowMs()); // discards the reservations, which the sent messages replace
        if (!affectedProxies.isEmpty()) {
            nonce = (nonce + 1) % NONCE_COUNT;
            commands.requestAcknowledgement(nonce);
        }
        for (ProxyState proxy : affectedProxies) {
            double entries = commands.entriesInMessage(proxy.id(), proxy.entriesBeingWritten()) + channel.messageCost();
            proxy.recordSent(ledger.recordSent(nonce, time.nowMs(), entries));
        }
    }

    void handleAcknowledgement(ProxyState proxy, int acknowledgedNonce, double tookMs) {
        SentMessage message = proxy.acknowledge(acknowledgedNonce);
        if (message != null) {
            ledger.recordAcknowledgement(message, tookMs);
            roundTripMs += ROUND_TRIP_SMOOTHING * (tookMs - roundTripMs);
            ledger.update(time.nowMs());
        }
    }
}
