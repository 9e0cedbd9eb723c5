package linenring.planner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.Channel;
import linenring.planner.PlannerSettings.Measure;
import linenring.planner.PlannerSettings.Operation;

/**
 * Every decision of one steward. Called with what is seen: {@code clock}, then any of the calls under
 * "what is seen", then {@code reconcile}, which goes through the rules until none fires. It orders through
 * {@link Commands} and is told {@link PlannerSettings} at start. The design is ESPRES: lines are held here; all
 * pending changes of a shared table are one sub-update; the smallest goes first, as a batch, once all its
 * proxies have room in their windows of unanswered messages. Beside it stand six mechanisms: 1 health from
 * late sums and trial return; 2 guards of cold and last hosts; 3 levels and further tries; 4 channel
 * ledger; 5 parts of tables for a slow channel and behind a cut; 6 start-over (owners of slices included).
 */
public final class Planner {
    private static final double LINES = 0.5, URGENT = 0.85, DRAINS = 1; // of the queue; it holds drains twice

    private final Commands commands;
    private final PlannerSettings settings;
    private final Channel channel;
    private final List<Operation> operations;
    private final double pace, perMessage, warmAfter, rampMs;
    private final double askEvery, ownerAfter; // ownerAfter: no write in a former owner's hands; or -1
    private final boolean sliced;
    private final Fleet fleet = new Fleet();
    private final List<Host> hosts = fleet.hosts;
    private final List<Proxy> joined = fleet.joined;
    private final List<Zone> zones = fleet.zones;
    private final TableRegistry registry;
    private final List<Table> tables;
    private final ChannelLedger ledger;
    private final TickTimer timer = new TickTimer(100); // a tenth of a second: shorter than any report or way here
    private final List<BooleanSupplier> rules;
    private double now, fadedAt, roundTrip, askAt, retryStormUntil = -1, firstClockAt, drainedAt;
    private boolean wholeList, drainsWait, bindsWait, joinSurge, stale = true; // stale: sums or hosts have changed
    private double reckonedAt, usualLate, mostLate, usualBad, ended, failed, rate;
    private int mark, full; // full: number of full tables, which come before all others
    private int parts, span; // parts that hosts are dealt to; of a table, or 0 for full tables
    private double admissionRatio = 1, admissionAt, forgetAt = Double.POSITIVE_INFINITY;
    private double objective = 1000, quickest = 0.2, lag; // until the first sums
    private final double[] operationAdmission = new double[Integer.SIZE];

    public Planner(PlannerSettings start, Commands commands) {
        this.commands = commands;
        settings = start;
        channel = start.channel();
        operations = start.operations();
        registry = new TableRegistry(hosts, operations);
        tables = registry.tables;
        pace = channel.linesPerMs();
        perMessage = channel.messageCost();
        ledger = new ChannelLedger(channel, 5 * channel.mostWaiting() / pace); // as slow as a channel gets
        roundTrip = 2 * channel.transit();
        warmAfter = start.cold().warmAfter();
        rampMs = Math.max(10_000, warmAfter);
        askEvery = start.askListWithin() / 3; // two calls may fail
        askAt = start.listMustBeAsked() ? 0 : Double.POSITIVE_INFINITY;
        sliced = start.slices().count() > 0;
        ownerAfter = start.slices().singleOwner() ? start.slices().writesEndWithin() + channel.grace() : -1;
        Arrays.fill(operationAdmission, 1);
        for (int k = 0; k < operations.size() && !sliced; k++) {
            addTablesFor(k);
        }
        full = tables.size();
        rules = rules();
    }

    private List<BooleanSupplier> rules() {
        return List.of(
                this::senseCut,
                this::dealParts,
                () -> bindProxies(true),
                this::withdrawTold,
                each(this::fails, this::markUnhealthy),
                each(this::isSlow, h -> setShare(h, 0.5 * h.share)),
                each(this::isOfSlowKind, h -> h.share = h.shareLimit = 0.5),
                each(this::wasSlow, h -> setShare(h, Math.min(1, 2 * h.share))),
                each(this::mustEject, h -> withdraw(h, true)),
                each(this::mayRetry, h -> startProbation(h, h.shareLimit < 1 ? h.shareLimit : 0.15)),
                each(this::passesProbation, this::growShare),
                each(h -> h.unhealthy && h.ejected && isLast(h), h -> startProbation(h, 1)),
                each(this::mustWaitOutside, h -> withdraw(h, true)),
                this::cutRestarted,
                this::placeSlices,
                this::sendSubUpdate,
                () -> bindProxies(false),
                each(h -> backIn(h) && mayTrouble(h), h -> withdraw(h, false)),
                this::setAdmission);
    }

    private BooleanSupplier each(Predicate<Host> when, Consumer<Host> then) {
        return () -> fleet.forEachHost(when, then);
    }

    // ---- what is seen

    /** Sums fade by half in 1.5 s, or in the span that they come to cover: about as late as they come. */
    public void clock(double at) {
        now = at;
        if (retryStormUntil < 0) {
            firstClockAt = now;
            retryStormUntil = now + 4000; // a fresh start knows nothing: in 4 s the first sums come
        }
        if (now - fadedAt >= 100) { // no finer than the alarms
            double keep = Math.pow(0.5, (now - fadedAt) / Math.max(1500, lag));
            fadedAt = timer.lastTickBy(now);
            ledger.update(now);
            hosts.forEach(h -> fade(h, keep));
            zones.forEach(z -> z.fade(keep));
        }
    }

    public void reconcile() {
        for (long passes = 0, fired = 1; fired > 0 && passes < 1000; passes++) { // none fires for long
            fired = rules.stream().filter(BooleanSupplier::getAsBoolean).count();
        }
        requestBarrier();
        if (now >= askAt) {
            askAt = now + askEvery;
            commands.watchHostList();
        }
        double callAt = timer.ask(now, nextDue());
        if (callAt < Double.POSITIVE_INFINITY) {
            commands.requestCall(callAt);
        }
    }

    /** When time alone may next change what is decided: now while anything is under way, or infinity. */
    private double nextDue() {
        boolean quiet =
                !sliced && !joinSurge && ledger.isEmpty() && zones.stream().allMatch(z -> z.isQuiet(now));
        if (!quiet || tables.stream().anyMatch(t -> pending(t) > 0 || unsent(t, 2) > 0)) {
            return now;
        }
        double due = Math.min(Math.min(askAt, forgetAt), now < retryStormUntil ? retryStormUntil : forgetAt);
        return hosts.stream().mapToDouble(h -> h.nextDue(now, rampMs)).reduce(due, Math::min);
    }

    public void beginHostList(boolean whole) {
        wholeList = whole;
        hosts.forEach(h -> h.inList = false);
    }

    public void hostReady(int id, int zone, int kind, double weight, double started) {
        boolean unmet = !wholeList && !fleet.isKnown(id);
        Host h = listed(id, zone, kind, weight);
        if (!h.running || started > h.started) { // a new process: what was seen of the old one tells nothing
            h.forgetHealth();
        }
        h.started = started;
        h.running = true;
        h.told = false;
        if (unmet && isWarm(h) && started < firstClockAt - 20_000) { // may not exist; 20 s: lists are late
            startProbation(h, 0.15);
            h.consecutiveFailures = 3; // 10 s, then 15 s out
        }
    }

    public void hostDraining(int id, int zone, int kind, double weight) {
        drop(listed(id, zone, kind, weight));
    }

    public void hostRemoved(int id) {
        Host h = fleet.host(id);
        h.name();
        if (!settings.goneNeedNotStop() || !h.running) {
            drop(h);
        }
    }

    private void drop(Host h) {
        h.running = false;
        h.ejected &= joined.stream().noneMatch(Proxy::isNewcomer); // not there when it was shut out for its health
        h.told = stale = true;
    }

    public void endHostList() {
        hosts.stream().filter(h -> wholeList && !h.inList && !h.released).forEach(h -> hostRemoved(h.id));
    }

    /** Forgets a removed host, whose id may then be another's; false while a table has a line for it. */
    public boolean releaseHost(int id) {
        boolean isFree = !sliced
                && fleet.isRemoved(id)
                && registry.holding(hosts.get(id)).isEmpty();
        if (isFree) {
            registry.forget(fleet.release(id));
        }
        return isFree;
    }

    public void joined(int id, int zone, double usual) {
        lost(id);
        Proxy p = fleet.proxy(id);
        p.zone = zone;
        p.usualRate = usual;
        p.bound = new Table[full];
        fleet.join(p);
    }

    /** Guards against answers that cannot come: its windows are free at once; what is on its way is in the channel still. */
    public void lost(int id) {
        Proxy p = fleet.proxy(id);
        p.disconnect();
        joined.remove(p);
    }

    public void barrierAcknowledged(int id, int answered, double tookMs) {
        SentMessage m = fleet.proxy(id).acknowledge(answered); // what was sent to it before is applied too
        if (m != null) {
            ledger.acknowledged(m, tookMs);
            roundTrip += 0.2 * (tookMs - roundTrip); // smoothed over about the last five answers
            ledger.update(now);
        }
    }

    public void hostStatistics(int id, int zone, int total, int bad, double meanMs, double span) {
        Host h = fleet.host(id);
        lag += 0.05 * (span - lag); // over about the last 20 sums
        Zone from = fleet.zone(zone);
        boolean near = zone == h.zone, counts = near || now >= from.cutUntil; // a cut: they tell nothing
        double spent = (total - bad) * meanMs;
        (near ? from.near : from.far).add(total, bad, spent);
        if (counts) {
            h.outcomes.add(total, bad, spent);
        }
        stale = true;
    }

    public void requestRate(int id, int operation, double span, int total) {
        double[] asked = fleet.proxy(id).requestRate;
        asked[operation] += 0.3 * (1000 * total / Math.max(1, span) - asked[operation]); // 3 reports
    }

    public void charge(int slice, boolean given) {
        Table t = registry.ofSlice(slice);
        t.owner = null;
        t.ownerlessSince = given ? now : Double.POSITIVE_INFINITY; // another steward's owner may still be writing
        t.clear();
    }

    public void held(int slice, int id, double weight) {
        registry.ofSlice(slice).owner = fleet.host(id);
        registry.ofSlice(slice).setWeight(fleet.host(id), weight);
    }

    private Host listed(int id, int zone, int kind, double weight) {
        Host h = fleet.host(id);
        h.list(zone, kind, weight);
        stale = true;
        return h;
    }

    private void addTablesFor(int k) { // one for all open to the same hosts, and for each zone if so confined
        int alike = settings.alike(k);
        boolean home = operations.get(k).homeZoneOnly();
        for (int z = 0; z < (home ? operations.get(k).zoneCount() : 1) && alike >> k << k == alike; z++) {
            registry.add(Integer.bitCount(alike) == operations.size() ? 0 : alike, home ? z : -1);
        }
    }

    private Collection<Proxy> users(Table t) {
        return sliced ? joined : t.users;
    }

    private void order(Proxy p, double lines) {
        ledger.reserve(cost(p, lines));
        p.freshLines += lines;
    }

    private double cost(Proxy p, double lines) {
        return lines + (p.freshLines > 0 ? 0 : perMessage); // what is begun takes no further message
    }

    private boolean open(Host h, Table t) {
        return t.operation.isOpenTo(h.zone, h.kind) && t.isForProxiesOf(h.zone) && t.hasPart(h.part);
    }

    private void fade(Host h, double keep) {
        stale = true;
        h.outcomes.scale(keep);
    }

    /** The fleet's figures, which no rule works out for each host: once for each input that changes them. */
    private void reckon() {
        if (!stale && reckonedAt == now) {
            return;
        }
        ended = failed = 0;
        fleet.outcomesByKind.forEach(outcomes -> outcomes.scale(0));
        for (Host h : hosts) {
            if (h.running) {
                ended += h.outcomes.ended;
                failed += h.outcomes.failed;
                if (!h.ejected && isWarm(h)) {
                    fleet.ofKind(h.kind).add(h.outcomes.ended, h.outcomes.failed, h.outcomes.spentMs);
                }
            }
        }
        for (Table t : tables) {
            t.weightListed = t.weightIn = t.weightWarm = t.weightAble = 0;
            t.load = load(joined.stream().filter(p -> t.isForProxiesOf(p.zone)).toList());
            for (Host h : t.members) {
                double weight = h.running && open(h, t) ? h.weight : 0;
                t.weightListed += weight;
                t.weightIn += h.ejected ? 0 : weight;
                t.weightWarm += h.ejected || !isWarm(h) ? 0 : weight;
                t.weightAble += h.ejected ? 0 : weight * able(h);
            }
        }
        if (stale) {
            double[] late = sorted(h -> lateness(h.outcomes));
            usualLate = endOf(0.33, late);
            mostLate = endOf(0.62, late); // a third of them broken or cut off does not move it
            usualBad = endOf(0.33, sorted(h -> h.outcomes.failed / h.outcomes.ended));
        }
        stale = false;
        reckonedAt = now;
    }

    private double[] sorted(ToDoubleFunction<Host> figure) {
        Stream<Host> told = hosts.stream().filter(h -> h.running && !h.ejected && h.outcomes.ended >= 3);
        return told.mapToDouble(figure).sorted().toArray();
    }

    /** Where the best part ends. In a jam all are bad; beside broken hosts the best are not. */
    private double endOf(double part, double[] sorted) {
        return sorted.length > 0 ? sorted[(int) (sorted.length * part)] : 0;
    }

    private boolean withdrawTold() { // together, as each message has a head, a quarter of the queue at least
        List<Host> told = hosts.stream().filter(Host::mustDrain).toList();
        List<Proxy> concerned = joined.stream()
                .filter(p -> told.stream().anyMatch(h -> holds(p, h)))
                .toList();
        double need = 0, room = channel.mostWaiting() - ledger.waiting();
        for (Proxy p : concerned) {
            need += cost(p, told.stream().filter(h -> holds(p, h)).count());
        }
        boolean full = bindsWait || need > room && room < 0.25 * channel.mostWaiting();
        drainsWait = !told.isEmpty() && (full || !mayWrite(concerned, 0, DRAINS)); // nothing else is written meanwhile
        return !drainsWait
                && !gathers(concerned)
                && each(h -> h.mustDrain() && drainFits(h), h -> withdraw(h, true))
                        .getAsBoolean();
    }

    private boolean drainFits(Host h) { // its withdrawal, in the queue
        double lines = holders(h).stream().mapToDouble(p -> cost(p, 1)).sum();
        return ledger.waiting() + lines <= channel.mostWaiting();
    }

    /** Guards the cap of messages against a drain told of word by word: the last half of it is spaced. */
    private boolean gathers(List<Proxy> to) { // others may be written meanwhile, and drains ride along
        return now - drainedAt < Math.min(channel.grace() / 2, messageGap())
                && to.stream().anyMatch(p -> p.freshLines == 0 && capUsed(p) > LINES * channel.messagesMost());
    }

    private double messageGap() { // by which a proxy uses less than its cap of messages
        return channel.messagesMost() > 0 ? channel.messagesOver() / (0.6 * channel.messagesMost()) : 0;
    }

    private List<Proxy> holders(Host h) { // no others get a message
        return joined.stream().filter(p -> holds(p, h)).toList();
    }

    private boolean holds(Proxy p, Host h) { // a standing table, or another steward's, may hold any host
        return sliced || p.mayHold(h);
    }

    private void withdraw(Host h, boolean out) {
        h.ejected = out;
        drainedAt = h.told ? now : drainedAt;
        stale = true;
        commands.setEjected(h.id, out);
        holders(h).forEach(p -> order(p, 1));
        registry.holding(h).forEach(t -> t.sentAt = now);
    }

    // ---- 1 health from late sums and trial return

    private double lateness(Outcomes outcomes) { // mean, in objectives; a try that failed counts as late by half
        return (outcomes.spentMs / objective + 1.5 * outcomes.failed) / Math.max(1, outcomes.ended);
    }

    /** Guards against a host at which tries fail, and not at the best third; a slow one goes when all do. */
    private boolean fails(Host h) {
        double bad = h.outcomes.failed, good = h.outcomes.ended - bad;
        reckon();
        boolean quick = h.outcomes.spentMs < 1.3 * good * objective * usualLate;
        return h.running
                && !h.unhealthy
                && bad >= (h.probationSince >= 0 ? 2 : 4) // bad tries that prove enough
                && bad >= (good + bad) * Math.max(quick ? 0.3 : 0.97, 0.15 + 2.2 * usualBad);
    }

    /**
     * Guards against a way between zones that is cut, slow or lossy, where proxies meet a host too seldom to
     * shun it: they keep to their own zone for a while. It could harm where only hosts elsewhere are lost.
     */
    private boolean senseCut() {
        for (Zone z : zones) {
            if (rate < 0.25 * joined.size() * hosts.size()
                    && z.near.ended >= 5
                    && z.far.ended >= 10
                    && lateness(z.far) > lateness(z.near) + 0.5
                    && lateness(z.near) < 0.5) {
                hosts.stream().filter(h -> now >= z.cutUntil).forEach(h -> fade(h, 0)); // of the way
                z.cutUntil = now + 10_000; // then the far hosts are tried anew
                z.far.scale(0);
            }
            for (Table t : now < z.cutUntil ? List.copyOf(tables.subList(0, full)) : List.<Table>of()) {
                if (tables.stream().noneMatch(o -> o.base == t.base && o.homeZone == zones.indexOf(z))) {
                    registry.add(t.operations, zones.indexOf(z)).base = t.base;
                }
            }
        }
        return false;
    }

    private Table reach(Proxy p, Table base) { // the full table, or that of the proxy's own zone
        return now >= fleet.zone(p.zone).cutUntil
                ? base
                : tables.stream()
                        .filter(t -> t.base == base.base
                                && t.homeZone == p.zone
                                && t.part < 0
                                && t.weightWarm > 0
                                && t.length > 0)
                        .findAny()
                        .orElse(base);
    }

    private void markUnhealthy(Host h) {
        h.unhealthy = true;
        h.probationSince = -1;
        h.retryAt =
                now + 3000 * Math.pow(1.5, Math.min(4, h.consecutiveFailures++)); // 3 s, up to 15 s for what stays bad
    }

    private void startProbation(Host h, double share) { // 0.15 is a try a second or so: enough to judge by
        h.unhealthy = false;
        h.probationSince = now;
        h.share = share;
        fade(h, 0);
    }

    private boolean mustEject(Host h) {
        return h.running && h.unhealthy && !h.ejected && mayTrouble(h) && spared(h);
    }

    private boolean mayRetry(Host h) {
        return h.unhealthy && h.running && now >= h.retryAt;
    }

    private boolean passesProbation(Host h) {
        double since = now - h.probationSince; // reports are up to 1.6 s late; after 6 s silence must do
        return h.probationSince >= 0 && since > 1500 && (h.outcomes.ended >= 2 || since > 6000);
    }

    private void growShare(Host h) {
        h.share = Math.min(h.shareLimit, 4 * h.share); // two steps at most: few orders
        h.probationSince = h.share < h.shareLimit ? now : -1;
        h.consecutiveFailures = h.share < h.shareLimit ? h.consecutiveFailures : Math.max(0, h.consecutiveFailures - 1);
    }

    /** Guards against a host too weak for its share. It could harm where a passing jam looks like that. */
    private boolean isSlow(Host h) {
        return steady(h, 4)
                && now > h.restUntil
                && h.share > 0.3
                && usualLate < 0.5
                && lateness(h.outcomes) * Math.min(1, h.outcomes.ended / 8) > Math.max(0.55, 1.6 * usualLate);
    }

    private boolean isOfSlowKind(Host h) { // where sums are thin, hosts of a kind tell of each other
        double late = lateness(fleet.ofKind(h.kind));
        return late > 0.5
                && fleet.ofKind(h.kind).ended >= 50
                && steady(h, 0)
                && h.share == 1
                && now > h.restUntil
                && fleet.outcomesByKind.stream().anyMatch(m -> m.ended >= 50 && lateness(m) < Math.min(0.35, late / 2));
    }

    private boolean wasSlow(Host h) {
        return steady(h, 4) && h.share < 1 && now > h.restUntil + 40_000 && lateness(h.outcomes) < usualLate;
    }

    private boolean steady(Host h, double tries) {
        reckon();
        return h.running && !h.unhealthy && h.probationSince < 0 && isWarm(h) && h.outcomes.ended >= tries;
    }

    private void setShare(Host h, double share) {
        h.share = h.shareLimit = share;
        h.restUntil = now + 8000; // its queue drains, late tries end, and the sums come in
        fade(h, 0);
    }

    // ---- 2 cold-host guard

    private boolean isWarm(Host h) {
        return now - h.started >= warmAfter;
    }

    private double able(Host h) { // at least, as a share of what it can do when warm
        return isWarm(h)
                ? 1
                : settings.cold().startsAt()
                        + (1 - settings.cold().startsAt()) * Math.max(0, now - h.started) / warmAfter;
    }

    /** The listed weight; for a new host the design's ramp under what it can do, less as many tries fail. */
    private double wanted(Host h, Table t) {
        double age = Math.max(0, now - h.started);
        if (!h.running || !open(h, t) || sliced) {
            return sliced && h == t.owner ? h.weight : 0;
        } else if (age >= rampMs) {
            return h.weight * h.share;
        }
        reckon();
        double well = 1 - failed / Math.max(20, ended);
        double sure = able(h) * (0.75 + 0.25 * Math.min(1, age / warmAfter));
        return h.weight * h.share * Math.min(0.5 + age / 20_000, sure) * Math.max(0.01, well);
    }

    /** Guards against a cold host sent all by proxies that shun others: it waits while warm ones are in. */
    private boolean heldBackInRetryStorm(Host h) {
        reckon();
        return now < retryStormUntil
                && !isWarm(h)
                && load(joined) >= 0.25 * joined.size() * hosts.size()
                && tables.stream().allMatch(t -> !inUse(t) || !open(h, t) || t.weightWarm > 0);
    }

    private boolean mustWaitOutside(Host h) {
        return h.running
                && !h.ejected
                && heldBackInRetryStorm(h)
                && !registry.holding(h).isEmpty()
                && mayTrouble(h);
    }

    /** Guards against a restarted or weak host that keeps its full weight: cut past the windows. */
    private boolean cutRestarted() {
        return each(this::mustBeCut, h -> tables.forEach(t -> lay(h, t, wanted(h, t))))
                .getAsBoolean();
    }

    private boolean mustBeCut(Host h) {
        return h.running
                && !h.ejected
                && (h.share < 1 || !isWarm(h))
                && tables.stream().anyMatch(t -> wanted(h, t) < 0.6 * t.weight(h))
                && (isWarm(h) ? mayTrouble(h) : mayWrite(holders(h), 1, URGENT));
    }

    private boolean spared(Host h) { // half of the weight that each table can use stays in
        reckon();
        return tables.stream().allMatch(t -> !inUse(t) || !open(h, t) || t.weightIn - h.weight >= 0.5 * t.weightListed);
    }

    private boolean isLast(Host h) { // of a table left with none but sick hosts: they are let back in
        return h.running
                && tables.stream()
                        .anyMatch(t -> inUse(t)
                                && open(h, t)
                                && hosts.stream().noneMatch(o -> o.running && !o.unhealthy && open(o, t)));
    }

    private boolean due(Host h, Table t) {
        double want = wanted(h, t), has = t.weight(h);
        return (has > 0 || !heldBackInRetryStorm(h))
                && ((want == 0) != (has == 0)
                        || Math.abs(want - has) > 0.12 * Math.max(want, has) // a ramp is a dozen steps
                        || want == h.weight && has != want);
    }

    private boolean backIn(Host h) { // when every table has its due weight
        return h.ejected
                && h.running
                && !h.unhealthy
                && !heldBackInRetryStorm(h)
                && tables.stream().noneMatch(t -> due(h, t));
    }

    private boolean admissionDue(Table t, int k) {
        return !sliced
                && t.isFor(k)
                && (t.retryPolicy != tries()
                        || Math.abs(t.admissionRatio[k] - operationAdmission[k]) > 0.02); // finer: not worth it
    }

    private boolean cutDue(Table t) { // as urgent as a withdrawal: each moment of a jam lengthens it
        return IntStream.range(0, operations.size())
                .anyMatch(k -> admissionDue(t, k) && operationAdmission[k] < t.admissionRatio[k]);
    }

    private int pending(Table t) {
        long levels = IntStream.range(0, operations.size())
                .filter(k -> admissionDue(t, k))
                .count();
        return (int) (levels + t.members.stream().filter(h -> due(h, t)).count());
    }

    private double unsent(Table t, int depth) { // binds have depth 2, as a step comes after them
        return depth == 2 ? unbound(t).count() * (1.0 + t.length) : pending(t) * users(t).size();
    }

    private boolean isFull(Table t) {
        return t.base < full && tables.get(t.base) == t;
    }

    private boolean inUse(Table t) {
        return sliced || isFull(t) || !t.users.isEmpty();
    }

    private Stream<Proxy> unbound(Table t) {
        return joined.stream().filter(p -> isFull(t) && t.length > 0 && t.isForProxiesOf(p.zone) && mustMove(p, t));
    }

    private boolean mustMove(Proxy p, Table base) {
        Table on = p.bound[base.base], to = reach(p, base);
        return on != to && (on == null || to != base || span == 0 || on.part < 0 || 2 * on.span < span || isWeak(on));
    }

    private boolean isWeak(Table t) { // a part that hosts have left, or more asked than others
        return load(t.users) * tables.get(t.base).weightAble > 1.5 * tables.get(t.base).load * t.weightAble;
    }

    private double load(Collection<Proxy> of) {
        return of.stream().mapToDouble(p -> p.usualRate).sum();
    }

    /** The depth rule: where binds would be last of all to finish, the table's other lines wait for them. */
    private boolean onlyBinds(Table t) {
        double binds = isFull(t) ? unsent(t, 2) : 0;
        DoubleStream all = tables.stream().limit(full).mapToDouble(o -> unsent(o, 1) + unsent(o, 2));
        return binds > 0 && (2 * roundTrip * pace + binds) * 1.05 > all.max().orElse(0);
    }

    private void lay(Host h, Table t, double weight) {
        if (weight != t.weight(h)) {
            commands.setWeight(t.number, h.id, weight);
            t.setWeight(h, weight);
            users(t).forEach(p -> order(p, 1 + commands.extraEntriesOfWeight(h.id, p.id)));
        }
    }

    private void layDue(Table t) {
        t.members.stream().filter(h -> due(h, t)).limit(piece(t)).forEach(h -> lay(h, t, wanted(h, t)));
        IntStream.range(0, operations.size()).filter(k -> admissionDue(t, k)).forEach(k -> layAdmission(t, k));
        t.retryPolicy = tries();
        t.sentAt = now;
    }

    /** The smallest pending sub-update goes first; each is sent whole, once all its proxies have room. */
    private boolean sendSubUpdate() {
        double gap = Math.max(roundTrip, messageGap());
        Table next = tables.stream()
                .filter(t -> t.length == 0 || gapOver(t, gap) || cutDue(t))
                .filter(t -> pending(t) > 0 && !onlyBinds(t) && allHaveRoom(t))
                .min(Comparator.comparingDouble(t -> unsent(t, 1)))
                .orElse(null);
        Stream.ofNullable(next).forEach(this::layDue);
        return next != null;
    }

    private boolean bindProxies(boolean fresh) { // newcomers first, as they may hold hosts that drain
        reckon();
        boolean fired = bindsWait = false;
        boolean laid = tables.stream().allMatch(t -> t.length > 0 || t.weightIn == 0); // first the lines
        for (Table t : laid ? List.copyOf(tables.subList(0, full)) : List.<Table>of()) {
            List<Proxy> due =
                    unbound(t).filter(p -> !fresh || p.bound[t.base] == null).toList();
            List<Table> some = due.isEmpty() ? List.of() : partsOf(t, fresh && joinSurge ? 1 : span);
            for (Proxy p : due) {
                Table to = reach(p, t) != t ? reach(p, t) : leastAsked(some, t);
                long withdrawn = to.members.stream()
                        .filter(h -> h.ejected && to.holds(h))
                        .count();
                double lines =
                        1 + to.length + operations.size() + commands.extraEntriesOfBind(to.number, p.id) + withdrawn;
                if (mustMove(p, t) && mayWrite(List.of(p), lines, fresh ? DRAINS : LINES)) {
                    p.bind(t.base, to);
                    commands.bindProxy(to.number, to.operations, p.id);
                    order(p, lines);
                    fired = true;
                } else {
                    bindsWait |= fresh && ledger.waiting() + cost(p, lines) > channel.mostWaiting();
                }
            }
        }
        return fired;
    }

    private List<Table> partsOf(Table base, int wide) { // the tables that share out the dealt parts
        int count = wide == 0 ? 0 : Math.min(parts, Math.max(2, parts / wide)); // none is all of them
        List<Table> all = IntStream.range(0, count)
                .mapToObj(i -> part(base, i * parts / count, (i + 1) * parts / count))
                .toList();
        reckon();
        all.stream().filter(t -> t.length == 0).forEach(this::layDue);
        return all;
    }

    private Table leastAsked(List<Table> of, Table base) { // for what there is
        return of.stream()
                .filter(t -> t.weightWarm > 0)
                .min(Comparator.comparingDouble(t -> (load(t.users) + 1e-6) / t.weightAble))
                .orElse(base);
    }

    private Table part(Table base, int from, int to) {
        return tables.stream()
                .filter(t -> t.base == base.base && t.part == from && t.span == to - from)
                .findFirst()
                .orElseGet(() -> {
                    Table t = registry.add(base.operations, base.homeZone);
                    t.base = base.base;
                    t.part = from;
                    t.span = to - from;
                    t.members = new ArrayList<>(
                            hosts.stream().filter(h -> open(h, t)).toList());
                    stale = true;
                    return t;
                });
    }

    private double dealt(int part) { // what its hosts can do; none goes where no warm one is
        List<Host> in = hosts.stream().filter(h -> h.running && h.part == part).toList();
        return in.stream().mapToDouble(h -> h.weight * able(h)).sum()
                + (in.stream().anyMatch(this::isWarm) ? 0 : 1e6);
    }

    /**
     * Guards against tables that the channel can't carry. Where full ones for all its proxies take over a
     * third of the ramp of 10 s, by which tables change anyway, each gets what can be sent in that time;
     * newcomers that would wait over a second for it, with old tables emptied by drains, first get a standing
     * table's size. It could harm by uneven load.
     */
    private boolean dealParts() {
        reckon();
        int standing = Math.max(2, settings.standing());
        double most = 3300 * pace / Math.max(1, joined.size()) - perMessage - 1 - operations.size();
        double lines = tables.subList(0, full).stream()
                .mapToDouble(this::linesOfOneProxy)
                .sum();
        boolean wide = !sliced && lines > (span > 0 ? 1 : 1.25) * most;
        double newcomers = joined.stream().filter(Proxy::isNewcomer).count();
        joinSurge = !sliced && ledger.waiting() + newcomers * Math.min(lines, Math.max(standing, most)) > 1000 * pace;
        if ((joinSurge || wide) && parts == 0) {
            List<Host> in = hosts.stream()
                    .filter(h -> h.running && !h.ejected && isWarm(h))
                    .sorted(Comparator.comparingInt((Host h) -> h.zone).thenComparingInt(h -> h.kind))
                    .toList();
            parts = in.isEmpty() ? 0 : Math.max(1, in.size() / standing);
            IntStream.range(0, in.size()).forEach(i -> in.get(i).part = i % parts);
        }
        int fits = wide && parts > 1 ? (int) Math.max(1, parts * Math.min(1, most / lines)) % parts : 0;
        span = fits == 0 || span == 0 || fits > 2 * span || 2 * fits < span ? fits : span;
        fleet.forEachHost(h -> parts > 0 && h.running && h.part < 0, this::dealNew);
        List<Table> idle = tables.stream().filter(this::isIdle).toList();
        idle.forEach(t -> commands.clearTable(t.number));
        tables.removeAll(idle);
        if (!joinSurge && !wide && tables.stream().allMatch(t -> t.part < 0)) {
            hosts.forEach(h -> h.part = -1);
            parts = 0;
        }
        return false;
    }

    private double linesOfOneProxy(Table t) {
        return t.length / (t.homeZone < 0 ? 1.0 : t.operation.zoneCount());
    }

    private void dealNew(Host h) { // newcomers go where least can be done
        h.part = IntStream.range(0, parts)
                .boxed()
                .min(Comparator.comparing(this::dealt))
                .orElse(0);
        tables.stream().filter(t -> t.part >= 0 && open(h, t)).forEach(t -> t.members.add(h));
        stale = true;
    }

    private boolean isIdle(Table t) {
        boolean isOld = t.part < 0 || !joinSurge && (span == 0 || Math.abs(t.span - span) > 1);
        return !sliced
                && !isFull(t)
                && t.users.isEmpty()
                && isOld
                && zones.stream().allMatch(z -> now >= z.cutUntil);
    }

    // ---- 4 channel ledger

    private boolean gapOver(Table t, double least) { // later changes merge; a quarter of it all for heads
        return now - t.sentAt >= Math.max(least, 4 * joined.size() * perMessage / pace)
                || users(t).stream().allMatch(p -> p.freshLines > 0);
    }

    private boolean mayTrouble(Host h) {
        return registry.holding(h).stream().allMatch(t -> gapOver(t, 0)) && mayWrite(holders(h), 1, URGENT);
    }

    /** How much may wait: the ordinary at most two seconds, or half of the grace, however deep the queue. */
    private double upTo(double part, int users) { // and room for a line to each of them
        double ordinary = Math.max(Math.min(2000, channel.grace() / 2) * pace, 2 * users * (1 + perMessage));
        return part > LINES ? part * channel.mostWaiting() : Math.min(LINES * channel.mostWaiting(), ordinary);
    }

    private boolean mayWrite(Collection<Proxy> to, double lines, double part) {
        double waiting = ledger.waiting(), most = channel.mostWaiting();
        boolean slow = roundTrip > 0.5 * channel.grace() && waiting > 0.25 * most; // a drain would come too late
        double cost = to.stream().mapToDouble(p -> cost(p, lines)).sum();
        double cap = Math.min(part + 0.2, Math.max(part, URGENT)) * channel.messagesMost();
        return (part == DRAINS || !drainsWait && !slow)
                && waiting + cost <= upTo(part, to.size())
                && (cap == 0 || to.stream().allMatch(p -> p.freshLines > 0 || capUsed(p) + 1 <= cap));
    }

    private int capUsed(Proxy p) {
        return p.sentSince(now - channel.messagesOver() - 1);
    }

    /** The window: a round trip's lines, at least 5 messages. Who is slow or frozen holds up no batch. */
    private boolean hasRoom(Proxy p, double lines, Table t) {
        return p.unanswered.size() < 5
                || p.unansweredLines + lines <= roundTrip * pace / users(t).size()
                || now - p.unanswered.peek().sentAt > Math.max(3 * roundTrip, 2 * channel.transitMost());
    }

    /** Guards against a sub-update that no queue holds: then it goes in pieces of half of what one may. */
    private long piece(Table t) {
        int to = Math.max(1, users(t).size());
        return (long) Math.max(1, 0.5 * upTo(LINES, to) / to - perMessage);
    }

    private boolean allHaveRoom(Table t) { // a line may bring one more to who was with another steward
        List<Host> due =
                t.members.stream().filter(h -> due(h, t)).limit(piece(t)).toList();
        int brought = users(t).stream().mapToInt(p -> brought(due, p)).max().orElse(0);
        double lines = Math.min(pending(t), piece(t)) + brought;
        return mayWrite(users(t), lines, LINES) && users(t).stream().allMatch(p -> hasRoom(p, lines, t));
    }

    private int brought(List<Host> due, Proxy p) {
        return due.stream()
                .mapToInt(h -> commands.extraEntriesOfWeight(h.id, p.id))
                .sum();
    }

    private void requestBarrier() { // one for all messages of this reply; each proxy concerned answers it
        List<Proxy> concerned = joined.stream().filter(p -> p.freshLines > 0).toList();
        ledger.update(now); // without what was only reckoned with
        if (!concerned.isEmpty()) {
            commands.requestAcknowledgement(mark = (mark + 1) % 65536);
        }
        for (Proxy p : concerned) {
            double lines =
                    commands.entriesInMessage(p.id, p.freshLines) + perMessage; // those that the way adds count too
            p.sent(ledger.send(mark, now, lines));
        }
    }

    // ---- 3 levels and further tries

    private RetryPolicy tries() { // none where each full host would send on to the next; others feed storms
        return now < retryStormUntil && admissionRatio < 0.9 ? RetryPolicy.NONE : RetryPolicy.ONE_IF_NOT_EXECUTED;
    }

    private void layAdmission(Table t, int k) {
        t.admissionRatio[k] = operationAdmission[k];
        double each = users(t).stream().mapToDouble(p -> p.requestRate[k]).sum() / Math.max(1, users(t).size());
        double figure = settings.measure() != Measure.PER_SECOND
                ? operationAdmission[k]
                : operationAdmission[k] < 1 ? operationAdmission[k] * each : 1e6; // more than any proxy is asked
        commands.setAdmission(t.number, 1 << k, figure, tries());
        users(t).forEach(p -> order(p, 1));
    }

    private double asked(int k) {
        return joined.stream().mapToDouble(p -> p.requestRate[k]).sum();
    }

    /** Guards against a fleet too small, whatever made it so: what is let in follows what ends well. */
    private boolean setAdmission() {
        rate = IntStream.range(0, operations.size()).mapToDouble(this::asked).sum();
        double work =
                IntStream.range(0, operations.size()).mapToDouble(this::work).sum();
        stale |= rate > 0 && objective != work / rate;
        objective = rate > 0 ? work / rate : objective;
        reckon();
        double good = ended - failed, late = mostLate;
        quickest = ended < 20 || usualLate == 0 ? quickest : Math.min(quickest, usualLate); // unhurried
        retryStormUntil = good < ended - 0.3 * Math.max(20, ended) || late > Math.max(0.45, 4 * quickest)
                ? now + 3000
                : retryStormUntil; // a fifth of the hosts dead makes less of one
        if (now >= forgetAt) {
            forgetAt = Double.POSITIVE_INFINITY;
            hosts.forEach(h -> fade(h, 0)); // what ended till now was let in before the cut
            return true;
        }
        if (ended < 20 || rate <= 0 || now < admissionAt) {
            return false;
        }
        double before = admissionRatio;
        if (late > 0.5 && usualLate > 0.35) {
            admissionRatio = Math.max(0.1, admissionRatio * Math.max(0.6, Math.min(0.55 / late, 0.95 * good / ended)));
        } else if (late < 0.4 && admissionRatio < 1) {
            admissionRatio = Math.min(1, admissionRatio * (1 + (0.45 - late)));
        }
        forgetAt = admissionRatio < before ? now + 2000 + Math.max(1000, lag) : forgetAt; // queues end, sums come
        admissionAt = (admissionRatio < before ? forgetAt : now) + 1500; // and fade
        spreadAdmission((1 - admissionRatio) * work);
        return admissionRatio != before;
    }

    private double work(int k) {
        return asked(k) * operations.get(k).objective();
    }

    private void spreadAdmission(double cut) { // taken where a unit of work (by its objective) earns least
        List<Integer> cheapest = IntStream.range(0, operations.size())
                .boxed()
                .sorted(Comparator.comparingDouble(
                        k -> operations.get(k).value() / operations.get(k).objective()))
                .toList();
        Arrays.fill(operationAdmission, 1);
        for (double floor : new double[] {0.4, 0.05}) { // first each to 0.4, so that none is given up early
            for (int k : cheapest) {
                double take = Math.min(cut, Math.max(0, operationAdmission[k] - floor) * work(k));
                operationAdmission[k] -= work(k) > 0 ? take / work(k) : 0;
                cut -= take;
            }
        }
    }

    /** A slice has one line; a lost owner goes, and the next comes once no write can be in its hands. */
    private boolean placeSlices() {
        for (Table t : sliced ? tables : List.<Table>of()) {
            if (t.owner != null && !t.owner.running) {
                t.owner = null;
                t.ownerlessSince = now;
            }
            if (t.owner == null && now - t.ownerlessSince > ownerAfter) {
                t.owner = leastOwning();
            }
        }
        return false; // gone through before the lines are laid, it finds nothing new
    }

    private Host leastOwning() {
        return hosts.stream()
                .filter(h -> h.running && !h.ejected)
                .min(Comparator.comparingDouble(
                        h -> tables.stream().filter(t -> t.owner == h).count() / h.weight))
                .orElse(null);
    }
}
