package linenring.planner;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Takes all decisions of one controller. The caller passes its inputs in this order: {@link #advanceClock}, then
 * any other inputs, then {@link #reconcile}, which applies the rules until no rule changes anything. The planner
 * acts through {@link Commands} and receives {@link PlannerSettings} at its start. All times are milliseconds on
 * the clock of the inputs; hosts, proxies, zones, kinds, operations and tables are small indices. The planner is
 * confined to one thread.
 *
 * <p>The design is ESPRES (see docs/design.md): {@link UpdateScheduler} sends the pending changes of tables, and
 * further mechanisms decide what these changes are. Each mechanism keeps its own state; what several mechanisms
 * need is in the {@link PlannerContext}.
 */
public final class Planner {
    /** Shortest interval between timed calls; it is shorter than any report interval or message transit here. */
    private static final double TICK_MS = 100;
    /**
     * An unacknowledged message is assumed to have left the channel after this multiple of the time that a full
     * queue takes to be sent.
     */
    private static final double MAX_CHANNEL_WAIT_FACTOR = 5;
    /** Polls of the host list within the allowed time, so that two of the polls may fail. */
    private static final double POLLS_PER_LIMIT = 3;
    /**
     * Upper limit of passes in a reconciliation, which guards against rules that undo each other endlessly; a
     * reconciliation normally takes a few passes.
     */
    private static final int MAX_PASSES = 1000;

    private final Commands commands;
    private final DecisionTime time = new DecisionTime();
    private final TickTimer timer = new TickTimer(TICK_MS);
    private final Fleet fleet = new Fleet();
    private final ChannelLedger ledger;
    private final PlannerContext context;
    private final FleetMembership membership;
    private final PartitionDetector partitionDetector;
    private final RetryStormGuard retryStormGuard;
    private final SlowStart slowStart;
    private final AdmissionController admissionController;
    private final PendingChanges pendingChanges;
    private final SubsetAssigner subsetAssigner;
    private final ProxyBinder proxyBinder;
    private final DrainScheduler drainScheduler;
    private final OutlierDetector outlierDetector;
    private final ShardPlacement shardPlacement;
    private final UpdateScheduler updateScheduler;
    private final List<Rule> orderedRules;
    private final double listPollIntervalMs;
    private double nextListPollAtMs;
    private double decayedAtMs;

    /** Creates a planner without any hosts or proxies. */
    public Planner(PlannerSettings settings, Commands commands) {
        this.commands = commands;
        PlannerSettings.Channel channel = settings.channel();
        ledger = new ChannelLedger(
                channel, MAX_CHANNEL_WAIT_FACTOR * channel.maxQueuedEntries() / channel.entriesPerMs());
        WarmUp warmUp = new WarmUp(settings.coldStart(), time);
        boolean isSharded = settings.shards().count() > 0;
        TableRegistry registry = new TableRegistry(fleet, settings.operations(), isSharded);
        registry.addFullTables(settings);
        FleetStatistics statistics = new FleetStatistics(fleet, registry, warmUp, time, settings.operations());
        FlowControl flow = new FlowControl(channel, ledger, fleet, registry, time, commands);
        TableWriter writer = new TableWriter(commands, flow, registry, statistics, time);
        context = new PlannerContext(settings, time, fleet, registry, warmUp, statistics, flow, writer);
        partitionDetector = new PartitionDetector(context);
        retryStormGuard = new RetryStormGuard(context);
        slowStart = new SlowStart(context);
        admissionController = new AdmissionController(context, retryStormGuard);
        pendingChanges = new PendingChanges(context, slowStart, retryStormGuard, admissionController);
        subsetAssigner = new SubsetAssigner(context, pendingChanges, partitionDetector);
        proxyBinder = new ProxyBinder(context, partitionDetector, subsetAssigner);
        drainScheduler = new DrainScheduler(context, proxyBinder);
        outlierDetector = new OutlierDetector(context);
        shardPlacement = new ShardPlacement(context);
        updateScheduler = new UpdateScheduler(context, pendingChanges, admissionController, proxyBinder);
        membership = new FleetMembership(context, outlierDetector);
        listPollIntervalMs = settings.pollListWithinMs() / POLLS_PER_LIMIT;
        nextListPollAtMs = settings.listMustBePolled() ? 0 : Double.POSITIVE_INFINITY;
        orderedRules = orderedRules();
    }

    /**
     * Returns the rules in the order in which each pass applies them; a rule sees the effects of the rules before
     * it. The rules that decide which tables exist come first, since all others depend on them. Then come the
     * urgent rules by urgency: joining proxies, drains, health decisions and weight cuts. The ordinary sub-updates
     * and moves follow within the remaining channel capacity, and the last rule affects only later passes and
     * inputs.
     */
    private List<Rule> orderedRules() {
        return List.of(
                // these two rules decide which tables exist, and which hosts and proxies each table serves
                Rule.preparing(partitionDetector::detectPartitions),
                Rule.preparing(subsetAssigner::updateSubsets),
                // joining proxies are bound before drains, since a bind replaces the old table together with its
                // draining hosts
                proxyBinder::bindJoinedProxies,
                drainScheduler::drain,
                // health decisions come before the ejections that follow from them
                eachHost(outlierDetector::isFailing, outlierDetector::markUnhealthy),
                eachHost(outlierDetector::isSlow, outlierDetector::halveWeight),
                eachHost(outlierDetector::isOfSlowKind, outlierDetector::halveWeightForKind),
                eachHost(outlierDetector::hasRecovered, outlierDetector::raiseWeight),
                eachHost(outlierDetector::mustEject, context.writer()::eject),
                eachHost(outlierDetector::mayStartProbation, outlierDetector::startProbation),
                eachHost(outlierDetector::isProbationStepPassed, outlierDetector::advanceProbation),
                // a last resort comes after the ejections, which may have left a table without healthy hosts
                eachHost(outlierDetector::isNeededAsLastResort, outlierDetector::restoreAtFullWeight),
                // cold hosts come after the health decisions, which affect their weights
                eachHost(retryStormGuard::mustEject, context.writer()::eject),
                eachHost(slowStart::mustCutWeight, slowStart::cutWeight),
                // shard owners come before the entries that name them
                Rule.preparing(shardPlacement::placeShards),
                updateScheduler::sendSubUpdate,
                // moves and restores come after the entries that they need
                proxyBinder::rebindProxies,
                eachHost(pendingChanges::mayRestore, context.writer()::restore),
                // admission comes last, as it needs the statistics of the whole fleet; the next pass writes its
                // result
                // result
                admissionController::adjustAdmission);
    }

    private Rule eachHost(Predicate<Host> condition, Consumer<Host> action) {
        return Rule.forEachHost(fleet, condition, action);
    }

    /** Sets the current time; called before all other inputs of that time. */
    public void advanceClock(double nowMs) {
        time.advanceTo(nowMs);
        retryStormGuard.assumeStormAtFirstInput();
        membership.recordFirstInput();
        if (nowMs - decayedAtMs >= TICK_MS) {
            context.statistics().decay(nowMs - decayedAtMs);
            decayedAtMs = timer.lastTickBy(nowMs);
            ledger.update(nowMs);
        }
    }

    /** Begins a host list, either a complete list or a list change. */
    public void beginHostList(boolean isComplete) {
        membership.beginList(isComplete);
    }

    /** Adds a ready host of the host list; a weight of 0 or less means that the list gives no weight. */
    public void hostReady(int id, int zone, int kind, double weight, double startedMs) {
        membership.hostReady(id, zone, kind, weight, startedMs);
    }

    /** Adds a draining host of the host list. */
    public void hostDraining(int id, int zone, int kind, double weight) {
        membership.hostDraining(id, zone, kind, weight);
    }

    /** Adds a removed host of the host list. */
    public void hostRemoved(int id) {
        membership.hostRemoved(id);
    }

    /** Ends the host list; each host that a complete list does not name counts as removed. */
    public void endHostList() {
        membership.endList();
    }

    /**
     * Releases the id of a removed host for use by another host; returns false while a table still has an entry for
     * the host.
     */
    public boolean releaseHost(int id) {
        return membership.releaseHost(id);
    }

    /**
     * Registers a proxy that has opened a stream, on which it is not yet bound to any table of this controller; the
     * proxy states its usual request rate.
     */
    public void proxyJoined(int id, int zone, double usualRequestsPerSecond) {
        proxyDisconnected(id);
        ProxyState proxy = fleet.proxy(id);
        proxy.join(zone, usualRequestsPerSecond, context.registry().fullTableCount());
        fleet.join(proxy);
    }

    /**
     * Records that a proxy's stream has ended. Its flow-control window is freed at once, as no acknowledgement can
     * arrive any more ({@link FlowControl#hasRoomInWindow}). Entries in transit to the proxy still count against
     * the channel queue until the channel had time to send them ({@link ChannelLedger}). When the proxy returns,
     * {@link #proxyJoined} treats it as a new proxy: {@link ProxyBinder} binds it again, which sends the complete
     * table with its admission ratios and ejections.
     */
    public void proxyDisconnected(int id) {
        fleet.leave(fleet.proxy(id));
    }

    /** Records that a proxy has applied the message with this nonce, and thereby all messages sent to it before. */
    public void messageAcknowledged(int id, int nonce, double roundTripMs) {
        context.flow().handleAcknowledgement(fleet.proxy(id), nonce, roundTripMs);
    }

    /**
     * Adds a load report on the attempts at a host by proxies of one zone in the last span: how many ended, how
     * many of these failed, and the mean latency of the successful ones.
     */
    public void hostStatistics(int id, int zone, int attempts, int failed, double meanSuccessMs, double spanMs) {
        context.statistics().addReport(fleet.host(id), zone, attempts, failed, meanSuccessMs, spanMs);
    }

    /** Adds a load report on the requests for one operation at a proxy in the last span. */
    public void requestRate(int id, int operation, double spanMs, int total) {
        context.statistics().addRequestRate(fleet.proxy(id), operation, spanMs, total);
    }

    /** Sets whether this controller is in charge of the shard from now on. */
    public void setShardInCharge(int shard, boolean isInCharge) {
        shardPlacement.setInCharge(shard, isInCharge);
    }

    /** Sets the host that owns the shard; the entry of the host at the shard's proxies has this weight. */
    public void setShardOwner(int shard, int id, double weight) {
        shardPlacement.setOwner(shard, fleet.host(id), weight);
    }

    /**
     * Applies the rules until no rule changes anything, then requests acknowledgements of the written messages and
     * schedules the next call.
     */
    public void reconcile() {
        for (int pass = 0; pass < MAX_PASSES && applyRules(); pass++) {
            // the next pass sees the changes of this pass
        }
        context.flow().requestAcknowledgements();
        if (time.nowMs() >= nextListPollAtMs) {
            nextListPollAtMs = time.nowMs() + listPollIntervalMs;
            commands.watchHostList();
        }
        double callAtMs = timer.nextCallAtMs(time.nowMs(), nextDueMs());
        if (callAtMs < Double.POSITIVE_INFINITY) {
            commands.requestCall(callAtMs);
        }
    }

    private boolean applyRules() {
        boolean any = false;
        for (Rule rule : orderedRules) {
            any |= rule.apply();
        }
        return any;
    }

    /**
     * Returns the time at which a decision may next change without an input: now while any work is in progress, or
     * infinity.
     */
    private double nextDueMs() {
        double nowMs = time.nowMs();
        boolean isIdle = !context.registry().isSharded()
                && !subsetAssigner.isJoinSurge()
                && ledger.isEmpty()
                && fleet.zones().stream().allMatch(zone -> zone.isIdle(nowMs));
        if (!isIdle || updateScheduler.isAnythingPending()) {
            return nowMs;
        }
        double dueMs =
                Math.min(Math.min(nextListPollAtMs, admissionController.nextDueMs()), retryStormGuard.nextDueMs());
        double rampMs = context.warmUp().rampMs();
        return fleet.hosts().stream()
                .mapToDouble(host -> host.nextDueMs(nowMs, rampMs))
                .reduce(dueMs, Math::min);
    }
}
