package linenring.planner;

import java.util.List;

/**
 * Starts the graceful drain of hosts: a host that is draining or removed is ejected at all proxies that may hold it,
 * regardless of their flow-control windows. Inputs: the hosts to drain, the free capacity of the channel queue
 * (entries), the messages sent to each proxy, the drain grace (ms).
 *
 * <p>This class guards against two failures, in both of which a host stops while proxies still send it requests,
 * which are lost.
 *
 * <ul>
 *   <li>The queue is nearly full. Drains that are sent one by one each pay the message overhead at each proxy, and
 *       ordinary entries use up the queue between them. So drains wait until the queue has room for all of them or a
 *       quarter of it is free, and block all other writes meanwhile.
 *   <li>The host list announces drains one host at a time, which uses up the limit on messages to a proxy, so that
 *       later drains wait for seconds. So drains keep a minimum gap once half of the limit is used. Other writes
 *       continue during the gap, and a drain is added to any message that its proxies receive anyway.
 * </ul>
 *
 * <p>A gap that is long relative to the drain grace would delay drains too much, hence the gap is at most half of the
 * grace.
 */
final class DrainScheduler {
    /** Drains are batched when less than this share of the queue is free, since each message adds its overhead. */
    private static final double MIN_FREE_QUEUE_SHARE = 0.25;
    /**
     * Longest gap between drains as a share of the drain grace; the other half is left for the transit of the
     * message.
     */
    private static final double MAX_GAP_SHARE_OF_GRACE = 0.5;
    /** Drains keep a minimum gap once a proxy has used this share of its message limit. */
    private static final double UNSPACED_MESSAGE_SHARE = 0.5;

    private final PlannerContext context;
    private final ProxyBinder binder;
    private double lastDrainAtMs;

    DrainScheduler(PlannerContext context, ProxyBinder binder) {
        this.context = context;
        this.binder = binder;
    }

    /** Ejects draining hosts, as many as the channel queue has room for; returns whether any host was ejected. */
    boolean drain() {
        List<Host> drainingHosts =
                context.fleet().hosts().stream().filter(Host::mustDrain).toList();
        List<ProxyState> affectedProxies = context.fleet().joinedProxies().stream()
                .filter(proxy -> drainingHosts.stream().anyMatch(host -> mayHold(proxy, host)))
                .toList();
        boolean mustWaitForRoom = !drainingHosts.isEmpty()
                && (mustWaitForQueue(drainingHosts, affectedProxies)
                        || !context.flow().mayWrite(affectedProxies, 0, WritePriority.DRAIN));
        context.flow().holdWritesForDrains(mustWaitForRoom);
        return !mustWaitForRoom
                && !mustKeepGap(affectedProxies)
                && context.fleet().forEachHost(host -> host.mustDrain() && fitsInQueue(host), this::drain);
    }

    private void drain(Host host) {
        lastDrainAtMs = context.nowMs();
        context.writer().eject(host);
    }

    private boolean mustWaitForQueue(List<Host> drainingHosts, List<ProxyState> affectedProxies) {
        double requiredEntries = 0;
        for (ProxyState proxy : affectedProxies) {
            long hostCount =
                    drainingHosts.stream().filter(host -> mayHold(proxy, host)).count();
            requiredEntries += context.flow().cost(proxy, (double) hostCount);
        }
        double capacity = context.settings().channel().maxQueuedEntries();
        double freeEntries = capacity - context.flow().queuedEntries();
        return binder.hasWaitingFirstBind()
                || (requiredEntries > freeEntries && freeEntries < MIN_FREE_QUEUE_SHARE * capacity);
    }

    private boolean mayHold(ProxyState proxy, Host host) {
        return context.registry().mayHold(proxy, host);
    }

    private boolean fitsInQueue(Host host) {
        return context.flow()
                .fitsInQueue(context.registry().proxiesHolding(host).stream()
                        .mapToDouble(proxy -> context.flow().cost(proxy, 1))
                        .sum());
    }

    private boolean mustKeepGap(List<ProxyState> affectedProxies) {
        double gapMs = Math.min(
                context.settings().channel().drainGraceMs() * MAX_GAP_SHARE_OF_GRACE,
                context.flow().messageGapMs());
        double unspacedMessages =
                UNSPACED_MESSAGE_SHARE * context.settings().channel().maxMessages();
        return context.nowMs() - lastDrainAtMs < gapMs
                && affectedProxies.stream()
                        .anyMatch(proxy -> !proxy.hasMessageBeingWritten()
                                && context.flow().messagesInLimitSpan(proxy) > unspacedMessages);
    }
}
