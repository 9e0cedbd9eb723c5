package linenring.planner;

import java.util.List;

/**
 * Notifies proxies of hosts that drain or are gone: the host is ejected at all that may hold it, past the windows. Inputs: the
 * hosts to drain, the room in the channel (entries), the messages that proxies were sent, the drain grace (ms).
 *
 * <p>Failures guarded against: a host stops while proxies still send it requests, which are then lost. One by one each drain
 * takes a message head at each proxy and ordinary entries take the room between them: so drains wait for room together, and
 * hold all else meanwhile. And a list that announces a drain host by host uses up the message limit, so that later drains wait for
 * seconds: so the last half of the limit is spaced by a gap; nothing else is held back meanwhile, and drains ride along with
 * whatever goes to their proxies. It could do harm where the gap is long against the grace, hence half of the grace at most.
 */
final class DrainScheduler {
    /** Drains wait for each other where less than this part of the queue is free: each message has a head. */
    private static final double MIN_FREE_QUEUE_SHARE = 0.25;
    /** The gap between drains leaves the other half of the grace for the message itself. */
    private static final double MAX_GAP_SHARE_OF_GRACE = 0.5;
    /** Drains are spaced once a proxy has used this part of its message limit. */
    private static final double FREE_MESSAGE_SHARE = 0.5;

    private final PlannerContext context;
    private final ProxyBinder binder;
    private double lastDrainAtMs;

    DrainScheduler(PlannerContext context, ProxyBinder binder) {
        this.context = context;
        this.binder = binder;
    }

    /** Ejects hosts that drain, as many as there is room for; whether there was one. */
    boolean drain() {
        List<Host> draining =
                context.fleet().hosts().stream().filter(Host::mustDrain).toList();
        List<ProxyState> concerned = context.fleet().joined().stream()
                .filter(proxy -> draining.stream().anyMatch(host -> mayHold(proxy, host)))
                .toList();
        boolean mustWait = !draining.isEmpty()
                && (hasNoRoom(draining, concerned) || !context.flow().mayWrite(concerned, 0, WritePriority.DRAIN));
        context.flow().holdForDrains(mustWait);
        return !mustWait
                && !mustBeSpaced(concerned)
                && context.fleet().forEachHost(host -> host.mustDrain() && fits(host), this::drain);
    }

    private void drain(Host host) {
        lastDrainAtMs = context.nowMs();
        context.writer().eject(host);
    }

    private boolean hasNoRoom(List<Host> draining, List<ProxyState> concerned) {
        double needed = 0;
        for (ProxyState proxy : concerned) {
            long hosts = draining.stream().filter(host -> mayHold(proxy, host)).count();
            needed += context.flow().cost(proxy, (double) hosts);
        }
        double queue = context.settings().channel().maxQueuedEntries();
        double free = queue - context.flow().waitingEntries();
        return binder.newcomersWait() || (needed > free && free < MIN_FREE_QUEUE_SHARE * queue);
    }

    private boolean mayHold(ProxyState proxy, Host host) {
        return context.registry().mayHold(proxy, host);
    }

    private boolean fits(Host host) {
        return context.flow()
                .fits(context.registry().holdersOf(host).stream()
                        .mapToDouble(proxy -> context.flow().cost(proxy, 1))
                        .sum());
    }

    private boolean mustBeSpaced(List<ProxyState> concerned) {
        double gapMs = Math.min(
                context.settings().channel().drainGraceMs() * MAX_GAP_SHARE_OF_GRACE,
                context.flow().messageGapMs());
        double freeMessages = FREE_MESSAGE_SHARE * context.settings().channel().maxMessages();
        return context.nowMs() - lastDrainAtMs < gapMs
                && concerned.stream()
                        .anyMatch(proxy -> !proxy.hasMessageBeingWritten()
                                && context.flow().countedMessages(proxy) > freeMessages);
    }
}
