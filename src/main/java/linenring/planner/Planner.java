package linenring.planner;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Every decision of one controller. Called with what is seen: {@link #advanceClock}, then any of the other inputs, then
 * {@link #reconcile}, which goes through the rules until none changes anything. It acts through {@link Commands} and is given
 * {@link PlannerSettings} at its start. All times are milliseconds on the clock of the inputs; hosts, proxies, zones, kinds of
 * machines, operations and tables are small indices. One thread owns it.
 *
 * <p>The design is ESPRES (see docs/design.md): {@link UpdateScheduler} sends the pending changes of tables, and beside it stand
 * the mechanisms that decide what these changes are. Each keeps its state to itself; what several need is in the
 * {@link PlannerContext}.
 */
public final class Planner {
    /** Shortest interval between timed calls: shorter than any report interval or message transit here. */
    private static final double TICK_MS = 100;
    /** An unacknowledged message counts as gone after 5 times the time in which a full queue is sent. */
    private static final double SLOWEST_CHANNEL = 5;
    /** The host list is polled three times within the allowed time: two polls may fail. */
    private static final double POLLS_PER_ALLOWED_TIME = 3;
    /** Guards against rules that undo each other for ever; a reconciliation takes a few passes. */
    private static final int MAX_PASSES = 1000;

    private final Commands commands;
    private final DecisionTime time = new DecisionTime();
    private final TickTimer timer = new TickTimer(TICK_MS);
    private final Fleet fleet = new Fleet();
    private final ChannelLedger ledger;
    private final PlannerContext context;
    private final FleetMembership membership;
    private final PartitionDetector partitions;
    private final RetryStormGuard storm;
    private final SlowStart slowStart;
    private final AdmissionController admission;
    private final PendingChanges changes;
    private final SubsetAssigner subsets;
    private final ProxyBinder binder;
    private final DrainScheduler drains;
    private final OutlierDetector outliers;
    private final ShardPlacement shards;
    private final UpdateScheduler updates;
    private final List<Rule> rules;
    private final double listPollIntervalMs;
    private double nextListPollAtMs;
    private double decayedAtMs;

    /** A planner that knows of no host and no proxy yet. */
    public Planner(PlannerSettings settings, Commands commands) {
        this.commands = commands;
        PlannerSettings.Channel channel = settings.channel();
        ledger = new ChannelLedger(channel, SLOWEST_CHANNEL * channel.maxQueuedEntries() / channel.entriesPerMs());
        WarmUp warmUp = new WarmUp(settings.coldStart(), time);
        boolean isSharded = settings.shards().count() > 0;
        TableRegistry registry = new TableRegistry(fleet, settings.operations(), isSharded);
        registry.addFullTables(settings);
        FleetStatistics statistics = new FleetStatistics(fleet, registry, warmUp, time, settings.operations());
        FlowControl flow = new FlowControl(channel, ledger, fleet, registry, time, commands);
        TableWriter writer = new TableWriter(commands, flow, registry, statistics, time);
        context = new PlannerContext(settings, time, fleet, registry, warmUp, statistics, flow, writer);
        partitions = new PartitionDetector(context);
        storm = new RetryStormGuard(context);
        slowStart = new SlowStart(context);
        admission = new AdmissionController(context, storm);
        changes = new PendingChanges(context, slowStart, storm, admission);
        subsets = new SubsetAssigner(context, changes, partitions);
        binder = new ProxyBinder(context, partitions, subsets);
        drains = new DrainScheduler(context, binder);
        outliers = new OutlierDetector(context);
        shards = new ShardPlacement(context);
        updates = new UpdateScheduler(context, changes, admission, binder);
        membership = new FleetMembership(context, outliers);
        listPollIntervalMs = settings.pollListWithinMs() / POLLS_PER_ALLOWED_TIME;
        nextListPollAtMs = settings.listMustBePolled() ? 0 : Double.POSITIVE_INFINITY;
        rules = rules();
    }

    /**
     * The rules in the order in which each pass applies them; each sees what those before it did. First comes which tables there
     * are, as all else goes by them; then what must not wait, by urgency: newcomers, drains, verdicts on health, cut weights;
     * then the ordinary sub-updates and moves, in the room that is left; and last what only later inputs make use of.
     */
    private List<Rule> rules() {
        return List.of(
                // which tables there are, and which hosts and proxies they are for
                Rule.preparing(partitions::detect),
                Rule.preparing(subsets::assign),
                // newcomers before drains: a bind replaces the old table, drained hosts and all
                binder::bindNewcomers,
                drains::drain,
                // verdicts on health, before the ejections that follow from them
                eachHost(outliers::isFailing, outliers::markUnhealthy),
                eachHost(outliers::isSlow, outliers::halveShare),
                eachHost(outliers::isOfSlowKind, outliers::halveForKind),
                eachHost(outliers::hasRecovered, outliers::raiseShare),
                eachHost(outliers::mustEject, context.writer()::eject),
                eachHost(outliers::mayStartProbation, outliers::startProbation),
                eachHost(outliers::passesProbationStep, outliers::passProbationStep),
                // after the ejections, which may have left a table without healthy hosts
                eachHost(outliers::isNeededThoughUnhealthy, outliers::restoreInFull),
                // cold hosts, by the health just judged
                eachHost(storm::mustEject, context.writer()::eject),
                eachHost(slowStart::mustCut, slowStart::cut),
                // owners before the entries that name them
                Rule.preparing(shards::place),
                updates::sendSubUpdate,
                // moves and restores after the entries that they need
                binder::moveBound,
                eachHost(changes::mayRestore, context.writer()::restore),
                // by the reports as a whole; what it decides goes with the next pass
                admission::adjust);
    }

    private Rule eachHost(Predicate<Host> condition, Consumer<Host> action) {
        return Rule.forEachHost(fleet, condition, action);
    }

    // ---- inputs

    /** It is now this time; comes before all else that is seen then. */
    public void advanceClock(double nowMs) {
        time.advanceTo(nowMs);
        storm.start();
        membership.start();
        if (nowMs - decayedAtMs >= TICK_MS) {
            context.statistics().decay(nowMs - decayedAtMs);
            decayedAtMs = timer.lastTickBy(nowMs);
            ledger.update(nowMs);
        }
    }

    /** A host list begins: a complete one, or a change. */
    public void beginHostList(boolean isComplete) {
        membership.beginList(isComplete);
    }

    /** The list names a host as ready; a weight of 0 or under stands for none given. */
    public void hostReady(int id, int zone, int kind, double weight, double startedMs) {
        membership.ready(id, zone, kind, weight, startedMs);
    }

    /** The list names a host as draining. */
    public void hostDraining(int id, int zone, int kind, double weight) {
        membership.draining(id, zone, kind, weight);
    }

    /** The list names a host as gone. */
    public void hostRemoved(int id) {
        membership.removed(id);
    }

    /** The host list ends; hosts that a complete one does not name are gone. */
    public void endHostList() {
        membership.endList();
    }

    /** Forgets a removed host, whose id may then be another's; false while a table has an entry for it. */
    public boolean releaseHost(int id) {
        return membership.release(id);
    }

    /**
     * A proxy has a new stream, on which it is bound to none of this controller's tables; its usual requests a second are as it
     * states them.
     */
    public void proxyJoined(int id, int zone, double usualRequestsPerSecond) {
        proxyDisconnected(id);
        ProxyState proxy = fleet.proxy(id);
        proxy.join(zone, usualRequestsPerSecond, context.registry().fullTableCount());
        fleet.join(proxy);
    }

    /**
     * A proxy's stream has ended. Freed at once: its flow-control window, as no acknowledgement can come ({@link
     * FlowControl#hasRoomInWindow}). What was on its way to it still counts against the channel queue, until the channel had
     * time to send it ({@link ChannelLedger}). When the proxy returns, {@link #proxyJoined} makes it a newcomer: {@link
     * ProxyBinder} binds it anew, which sends the complete table with its admissions and ejections.
     */
    public void proxyDisconnected(int id) {
        fleet.leave(fleet.proxy(id));
    }

    /** A proxy has applied the message with this nonce, and so all that was sent to it before. */
    public void messageAcknowledged(int id, int nonce, double tookMs) {
        context.flow().acknowledged(fleet.proxy(id), nonce, tookMs);
    }

    /**
     * Attempts at a host by proxies of one zone in the last span: how many ended, how many of these failed, and the mean time
     * of those that succeeded.
     */
    public void hostStatistics(int id, int zone, int attempts, int failed, double meanSuccessMs, double spanMs) {
        context.statistics().addReport(fleet.host(id), zone, attempts, failed, meanSuccessMs, spanMs);
    }

    /** Requests for an operation at a proxy in the last span. */
    public void requestRate(int id, int operation, double spanMs, int total) {
        context.statistics().addRequestRate(fleet.proxy(id), operation, spanMs, total);
    }

    /** This controller is in charge of the shard from now on, or no more. */
    public void setShardInCharge(int shard, boolean inCharge) {
        shards.setInCharge(shard, inCharge);
    }

    /** The shard is owned by the host, whose entry its proxies have with this weight. */
    public void setShardOwner(int shard, int id, double weight) {
        shards.setOwner(shard, fleet.host(id), weight);
    }

    // ---- reconciliation

    /** Applies the rules until none changes anything, then closes the messages written and asks for the next call. */
    public void reconcile() {
        for (int pass = 0; pass < MAX_PASSES && applyRules(); pass++) {
            // the next pass sees what this one changed
        }
        context.flow().requestAcknowledgements();
        if (time.nowMs() >= nextListPollAtMs) {
            nextListPollAtMs = time.nowMs() + listPollIntervalMs;
            commands.watchHostList();
        }
        double callAtMs = timer.ask(time.nowMs(), nextDueMs());
        if (callAtMs < Double.POSITIVE_INFINITY) {
            commands.requestCall(callAtMs);
        }
    }

    private boolean applyRules() {
        boolean any = false;
        for (Rule rule : rules) {
            any |= rule.apply();
        }
        return any;
    }

    /** When time alone may next change what is decided: now while anything is under way, or infinity. */
    private double nextDueMs() {
        double nowMs = time.nowMs();
        boolean isQuiet = !context.registry().isSharded()
                && !subsets.isJoinSurge()
                && ledger.isEmpty()
                && fleet.zones().stream().allMatch(zone -> zone.isQuiet(nowMs));
        if (!isQuiet || updates.isAnythingPending()) {
            return nowMs;
        }
        double dueMs = Math.min(Math.min(nextListPollAtMs, admission.nextDueMs()), storm.nextDueMs());
        double rampMs = context.warmUp().rampMs();
        return fleet.hosts().stream()
                .mapToDouble(host -> host.nextDueMs(nowMs, rampMs))
                .reduce(dueMs, Math::min);
    }
}
