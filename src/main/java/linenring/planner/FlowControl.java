package linenring.planner;

import java.util.Collection;
import java.util.List;
import linenring.planner.PlannerSettings.Channel;

/**
 * Decides whether something may be written to proxies now, and accounts for what is. Inputs: the channel's stated rate
 * (entries a second), queue limit (entries), message limit (messages to one proxy over a span) and transit times (ms); the
 * {@link ChannelLedger}; the round trip of messages (ms, from their acknowledgements).
 *
 * <p>It guards against three failures. A queue over its limit breaks the contract of the channel: so the cost of each write
 * is known before it is made. A drain behind seconds of ordinary entries comes after the host has stopped: so ordinary entries
 * fill a small part of the queue, and none are written while drains wait. A proxy that is slow or frozen would hold up the
 * updates of all others: so its window is passed over once its acknowledgement is long overdue. Where the stated rate is
 * too high the round trips show it, and the windows slow the rest down.
 */
final class FlowControl {
    /** Round trips are smoothed over about the last five acknowledgements. */
    private static final double ROUND_TRIP_SMOOTHING = 0.2;
    /** The window of unacknowledged messages in ESPRES (see docs/design.md). */
    private static final int WINDOW_MESSAGES = 5;
    /** Age of its oldest message, in round trips, from which on a proxy's window does not count. No reason is recorded. */
    private static final double OVERDUE_ROUND_TRIPS = 3;
    /** Age, in longest transits (there and back), from which on a message to a proxy is overdue. */
    private static final double OVERDUE_TRANSITS = 2;
    /** Ordinary entries wait two seconds at most: the queue may hold 15 s of them, and drains come behind. */
    private static final double ORDINARY_WAIT_MS = 2000;
    /** Ordinary entries wait for half of the drain grace at most: behind two seconds of them a drain missed 1.5 s. */
    private static final double GRACE_SHARE = 0.5;
    /** There is room for some messages of one entry to each user, however slow the channel; no reason is recorded for two. */
    private static final double MIN_MESSAGES_PER_USER = 2;
    /** Round trips over this share of the drain grace mean that a drain comes too late behind other entries. */
    private static final double SLOW_ROUND_TRIP_SHARE_OF_GRACE = 0.5;
    /** The channel counts as slow only where more than this share of the queue waits. No reason is recorded for the value. */
    private static final double SLOW_QUEUE_SHARE = 0.25;
    /**
     * The gap is this multiple of the time in which the channel sends one message head to each proxy: heads take a quarter of
     * it.
     */
    private static final double GAP_PER_HEADS_TIME = 4;
    /** Spaced messages use this share of the message limit; the rest is for what is urgent. No reason is recorded for the value. */
    private static final double SPACED_MESSAGE_SHARE = 0.6;
    /** A sub-update that no queue holds goes in pieces of half of what ordinary entries may fill. */
    private static final double PIECE_SHARE = 0.5;
    /** The limit on messages is stated in whole milliseconds. */
    private static final double ROUNDING_MS = 1;
    /** Nonces are 16 bits on the wire. */
    private static final int NONCES = 65_536;

    private final Channel channel;
    private final ChannelLedger ledger;
    private final Fleet fleet;
    private final TableRegistry registry;
    private final DecisionTime time;
    private final Commands commands;
    private double roundTripMs;
    private boolean drainsWait;
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
        roundTripMs = 2 * channel.transitMs();
    }

    double roundTripMs() {
        return roundTripMs;
    }

    // ---- what a write costs

    /** What entries to a proxy take of the channel: those of a message that is begun already need no head. */
    double cost(ProxyState proxy, double entries) {
        return entries + (proxy.hasMessageBeingWritten() ? 0 : channel.messageCost());
    }

    /** Accounts for entries that are being written to a proxy. */
    void reserve(ProxyState proxy, double entries) {
        ledger.reserve(cost(proxy, entries));
        proxy.addEntries(entries);
    }

    /** Entries that wait in the channel and those being written. */
    double waitingEntries() {
        return ledger.waitingEntries();
    }

    /** Whether a write of this cost fits into the queue. */
    boolean fits(double cost) {
        return ledger.waitingEntries() + cost <= channel.maxQueuedEntries();
    }

    // ---- whether a write may be made

    /** Nothing but drains is written while these wait for room. */
    void holdForDrains(boolean wait) {
        drainsWait = wait;
    }

    /** Whether this number of entries may be written to each of the proxies. */
    boolean mayWrite(Collection<ProxyState> proxies, double entries, WritePriority priority) {
        double cost =
                proxies.stream().mapToDouble(proxy -> cost(proxy, entries)).sum();
        boolean isDrain = priority == WritePriority.DRAIN;
        return (isDrain || (!drainsWait && !isSlow()))
                && ledger.waitingEntries() + cost <= maxWaitingEntries(priority, proxies.size())
                && isUnderMessageLimit(proxies, priority);
    }

    /** Guards against drains behind seconds of entries on a channel slower than stated: acknowledgements take too long. */
    private boolean isSlow() {
        return roundTripMs > SLOW_ROUND_TRIP_SHARE_OF_GRACE * channel.drainGraceMs()
                && ledger.waitingEntries() > SLOW_QUEUE_SHARE * channel.maxQueuedEntries();
    }

    /** Ordinary entries wait at most two seconds, or half of the drain grace, however deep the queue. */
    private double maxWaitingEntries(WritePriority priority, int proxies) {
        double share = priority.queueShare() * channel.maxQueuedEntries();
        if (priority != WritePriority.ORDINARY) {
            return share;
        }
        double waitMs = Math.min(ORDINARY_WAIT_MS, channel.drainGraceMs() * GRACE_SHARE);
        double oneEntryEach = MIN_MESSAGES_PER_USER * proxies * (1 + channel.messageCost());
        return Math.min(share, Math.max(waitMs * channel.entriesPerMs(), oneEntryEach));
    }

    private boolean isUnderMessageLimit(Collection<ProxyState> proxies, WritePriority priority) {
        double limit = priority.messageShare() * channel.maxMessages();
        return limit == 0
                || proxies.stream()
                        .allMatch(proxy -> proxy.hasMessageBeingWritten() || countedMessages(proxy) + 1 <= limit);
    }

    /** Number of messages that the limit counts for a proxy now. */
    int countedMessages(ProxyState proxy) {
        return proxy.messagesSentSince(time.nowMs() - channel.messageLimitSpanMs() - ROUNDING_MS);
    }

    /** Whether the ejection, the restore or the cut of a host may be written past the windows. */
    boolean mayInterrupt(Host host) {
        return registry.holding(host).stream().allMatch(table -> isGapOver(table, 0))
                && mayWrite(registry.holdersOf(host), 1, WritePriority.URGENT);
    }

    /**
     * Whether enough time has passed since the table was written, so that its next message does not fill the channel with heads.
     * Without the gap each input would be a sub-update of its own and nothing would merge. What goes to all anyway takes
     * along what is due.
     */
    boolean isGapOver(EndpointTable table, double leastGapMs) {
        double headsMs = GAP_PER_HEADS_TIME * fleet.joined().size() * channel.messageCost() / channel.entriesPerMs();
        return time.nowMs() - table.writtenAtMs() >= Math.max(leastGapMs, headsMs)
                || registry.usersOf(table).stream().allMatch(ProxyState::hasMessageBeingWritten);
    }

    /** The gap between messages by which a proxy uses less than its limit of them, in milliseconds; 0 for no limit. */
    double messageGapMs() {
        return channel.maxMessages() > 0
                ? channel.messageLimitSpanMs() / (SPACED_MESSAGE_SHARE * channel.maxMessages())
                : 0;
    }

    /** Whether this number of entries fits into the proxy's window: a round trip's worth, at least 5 messages. */
    boolean hasRoomInWindow(ProxyState proxy, double entries, EndpointTable table) {
        return proxy.unacknowledgedMessages() < WINDOW_MESSAGES
                || proxy.unacknowledgedEntries() + entries
                        <= roundTripMs
                                * channel.entriesPerMs()
                                / registry.usersOf(table).size()
                || isOverdue(proxy);
    }

    /** Guards against one slow, frozen or unreachable proxy that holds up the sub-updates of all. */
    private boolean isOverdue(ProxyState proxy) {
        double overdueMs = Math.max(OVERDUE_ROUND_TRIPS * roundTripMs, OVERDUE_TRANSITS * channel.longestTransitMs());
        return time.nowMs() - proxy.oldestUnacknowledgedSentAtMs() > overdueMs;
    }

    /** Guards against a sub-update that no queue holds, and that so would never be sent: the entries of one piece of it. */
    long maxPieceEntries(EndpointTable table) {
        int users = Math.max(1, registry.usersOf(table).size());
        double entries = PIECE_SHARE * maxWaitingEntries(WritePriority.ORDINARY, users) / users;
        return (long) Math.max(1, entries - channel.messageCost());
    }

    // ---- acknowledgements

    /** Requests one acknowledgement for all messages of this reconciliation; each proxy concerned gives it. */
    void requestAcknowledgements() {
        List<ProxyState> concerned = fleet.joined().stream()
                .filter(ProxyState::hasMessageBeingWritten)
                .toList();
        ledger.update(time.nowMs()); // replaces what was reserved by what is sent
        if (!concerned.isEmpty()) {
            nonce = (nonce + 1) % NONCES;
            commands.requestAcknowledgement(nonce);
        }
        for (ProxyState proxy : concerned) {
            double entries = commands.entriesInMessage(proxy.id(), proxy.entriesBeingWritten()) + channel.messageCost();
            proxy.sent(ledger.send(nonce, time.nowMs(), entries));
        }
    }

    void acknowledged(ProxyState proxy, int acknowledgedNonce, double tookMs) {
        SentMessage message = proxy.acknowledge(acknowledgedNonce);
        if (message != null) {
            ledger.acknowledged(message, tookMs);
            roundTripMs += ROUND_TRIP_SMOOTHING * (tookMs - roundTripMs);
            ledger.update(time.nowMs());
        }
    }
}
