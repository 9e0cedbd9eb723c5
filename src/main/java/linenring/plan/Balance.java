package linenring.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import linenring.plan.Orders.FurtherTries;
import linenring.plan.StartFigures.Measure;
import linenring.plan.StartFigures.Operation;

/**
 * Every decision of one steward. Called with what is seen: {@code clock}, then any of the calls under
 * "what is seen", then {@code settle}, which goes through the rules until none fires. It orders through
 * {@link Orders} and is told {@link StartFigures} at start. The design is ESPRES: lines are held here; all
 * pending changes of a shared table are one sub-update; the smallest goes first, as a batch, once all its
 * proxies have room in their windows of unanswered messages. Beside it stand six mechanisms: 1 health from
 * late sums and trial return; 2 guards of cold and last hosts; 3 levels and further tries; 4 channel
 * ledger; 5 parts of tables for a slow channel and behind a cut; 6 start-over (owners of slices included).
 */
public final class Balance {
    private static final int ENDED = 0, BAD = 1, SPENT = 2;
    private static final double LINES = 0.5, URGENT = 0.85, DRAINS = 1; // of the queue; it holds drains twice

    private static final class Host {
        int id, zone, kind;
        double weight = 1, started = Double.NEGATIVE_INFINITY;
        boolean running, told, inList;  // listed ready; told it drains or is gone; in the list being read
        boolean out, sick;              // shut out at the proxies; to be shut out for its health
        double backAt, trialSince = -1, restUntil; // next trial; start of its step; no judging of lateness
        int strikes, part = -1;         // failed trials in a row; part that it is dealt to, or -1
        double share = 1, bears = 1;    // part of its weight that health allows, and its end after a trial
        double[] met = new double[3];   // late sums: ENDED, BAD, SPENT
    }

    private static final class Zone {
        final double[] near = new double[3], far = new double[3]; // what its proxies met there and elsewhere
        double cutUntil;                // till then they keep to it
    }

    /** What one proxy was sent at one time, and when it leaves the channel at its stated pace. */
    private static final class Message {
        int mark;
        double at, lines, leavesBy, slow = 1; // by how much what was sent before it took longer
        boolean left, lost;             // it is out of the channel; its stream has ended
    }

    private static final class Proxy {
        int id, zone;
        Table[] bound = {};             // what it is bound to, by shared table; null for none
        final double[] asked = new double[Integer.SIZE]; // invocations a second, by operation
        double usual, fresh, out;       // asked a second, about; lines of this reply; lines not answered yet
        final ArrayDeque<Message> unanswered = new ArrayDeque<>();
        final ArrayDeque<Double> written = new ArrayDeque<>(); // times of the messages that the cap counts
    }

    /** A shared table, for the operations open to the same hosts. */
    private static final class Table {
        int operations, homeZone;       // homeZone: that of the proxies and hosts it is for, or -1
        int number, length, base;       // base: index of the full table that it stands for, or its own
        int part = -1, span;            // the first of the parts that it is made of, and how many; or -1
        List<Host> members;             // the hosts that may be in it
        final Set<Proxy> users = new LinkedHashSet<>();
        double[] laid = {};             // weight by host, as last sent
        double load, sentAt = -1e9;     // what all whom it may be for are asked; when it was last written
        Host owner;                     // slices: the host of its one line
        double weightListed, weightIn, warmIn, ableIn, ownerless; // of its open hosts; since when unowned
        final double[] letIn = new double[Integer.SIZE]; // by operation
        FurtherTries tries;
    }

    private final Orders orders;
    private final Operation[] operations;
    private final Measure measure;
    private final double pace, perMessage, mostWaiting, messagesOver, transitMost, coldShare, warmAfter;
    private final double grace, askEvery, ownerAfter; // ownerAfter: no write in a former owner's hands; or -1
    private final int messagesMost, standing;
    private final boolean goneNeedNotStop, sliced;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Proxy> joined = new ArrayList<>();
    private final List<Message> inChannel = new ArrayList<>(); // in the order in which they were sent
    private final List<Table> tables = new ArrayList<>();
    private final List<Zone> zones = new ArrayList<>();
    private final List<double[]> metBy = new ArrayList<>(); // sums of the warm hosts that are in, by kind
    private final List<BooleanSupplier> rules;
    private double now, provenAt, fadedAt, roundTrip, alarmAt = -1, askAt, stormUntil = -1, metAt, drainedAt;
    private boolean wholeList, drainsWait, bindsWait, rush, stale = true; // stale: sums or hosts have changed
    private double waiting, reckonedAt, usualLate, mostLate, usualBad, ended, bad, rate;
    private int mark, lastNumber, full; // full: number of full tables, which come before all others
    private int parts, span;            // parts that hosts are dealt to; of a table, or 0 for full tables
    private double letIn = 1, levelAt, forgetAt = Double.POSITIVE_INFINITY;
    private double objective = 1000, quickest = 0.2, lag; // until the first sums
    private final double[] opLevel = IntStream.range(0, Integer.SIZE).mapToDouble(k -> 1).toArray();

    public Balance(StartFigures start, Orders orders) {
        this.orders = orders;
        operations = start.operations().toArray(new Operation[0]);
        measure = start.measure();
        pace = start.channel().pace() / 1000;
        perMessage = start.channel().perMessage() + 1; // and one for the barrier request
        mostWaiting = start.channel().mostWaiting();
        messagesMost = start.channel().messagesMost();
        messagesOver = start.channel().messagesOver();
        standing = Math.max(2, start.standing());
        transitMost = start.channel().transitMost();
        grace = start.channel().grace();
        roundTrip = 2 * start.channel().transit();
        coldShare = start.cold().startsAt();
        warmAfter = start.cold().warmAfter();
        goneNeedNotStop = start.goneNeedNotStop();
        askEvery = start.askListWithin() / 3; // two calls may fail
        askAt = start.listMustBeAsked() ? 0 : Double.POSITIVE_INFINITY;
        sliced = start.slices().count() > 0;
        ownerAfter = !start.slices().singleOwner() ? -1
                : start.slices().lease() + start.slices().lingers() + start.channel().grace();
        for (int k = 0; k < operations.length && !sliced; k++) {
            addTablesFor(k);
        }
        full = tables.size();
        rules = List.of(this::senseCut, this::dealParts, () -> bindProxies(true), this::withdrawTold,
                each(this::fails, this::markSick),
                each(this::isSlow, h -> setShare(h, 0.5 * h.share)),
                each(this::isOfSlowKind, h -> h.share = h.bears = 0.5),
                each(this::wasSlow, h -> setShare(h, Math.min(1, 2 * h.share))),
                each(h -> h.running && h.sick && !h.out && mayTrouble(h) && spared(h),
                        h -> withdraw(h, true)),
                each(h -> h.sick && h.running && now >= h.backAt,
                        h -> startTrial(h, h.bears < 1 ? h.bears : 0.15)),
                each(this::passesTrial, this::growShare),
                each(h -> h.sick && h.out && isLast(h), h -> startTrial(h, 1)),
                each(h -> h.running && !h.out && keptFromStorm(h) && !tablesWith(h).isEmpty()
                        && mayTrouble(h),
                        h -> withdraw(h, true)),
                this::cutRestarted, this::placeSlices, this::sendSubUpdate,
                () -> bindProxies(false),
                each(h -> backIn(h) && mayTrouble(h), h -> withdraw(h, false)),
                this::setLevels);
    }

    private BooleanSupplier each(Predicate<Host> when, Consumer<Host> then) {
        return () -> hosts.stream().filter(when).mapToInt(h -> {
            then.accept(h);
            return 1;
        }).sum() > 0;
    }

    // ---- what is seen

    /** Sums fade by half in 1.5 s, or in the span that they come to cover: about as late as they come. */
    public void clock(double at) {
        now = at;
        metAt = stormUntil < 0 ? now : metAt; // a fresh start knows nothing: in 4 s the first sums come
        stormUntil = stormUntil < 0 ? now + 4000 : stormUntil;
        if (now - fadedAt >= 100) { // no finer than the alarms
            double keep = Math.pow(0.5, (now - fadedAt) / Math.max(1500, lag));
            fadedAt = now;
            reckonChannel();
            hosts.forEach(h -> fade(h, keep));
            zones.stream().flatMap(z -> Stream.of(z.near, z.far))
                    .forEach(met -> Arrays.setAll(met, i -> met[i] * keep));
        }
    }

    public void settle() {
        for (long passes = 0, fired = 1; fired > 0 && passes < 1000; passes++) { // none fires for long
            fired = rules.stream().filter(BooleanSupplier::getAsBoolean).count();
        }
        requestBarrier();
        if (now >= askAt) {
            askAt = now + askEvery;
            orders.followList();
        }
        if (alarmAt <= now + 1) { // due, but for what rounding took
            alarmAt = now + 100; // a tenth of a second: shorter than any report or way here
            orders.alarm(alarmAt, 1);
        }
    }

    public void listOpens(boolean whole) {
        wholeList = whole;
        hosts.forEach(h -> h.inList = false);
    }

    public void running(int id, int zone, int kind, double weight, double started) {
        boolean unmet = !wholeList && id >= hosts.size();
        Host h = listed(id, zone, kind, weight);
        if (!h.running || started > h.started) { // a new process: what was seen of the old one tells nothing
            h.sick = false;
            h.share = h.bears = 1;
            h.trialSince = -1;
            fade(h, 0);
        }
        h.started = started;
        h.running = true;
        h.told = false;
        if (unmet && isWarm(h) && started < metAt - 20_000) { // may not exist; 20 s: lists are late
            startTrial(h, 0.15);
            h.strikes = 3; // 10 s, then 15 s out
        }
    }

    public void stopping(int id, int zone, int kind, double weight) {
        drop(listed(id, zone, kind, weight));
    }

    public void gone(int id) {
        Host h = host(id);
        h.inList = true;
        if (!goneNeedNotStop || !h.running) {
            drop(h);
        }
    }

    private void drop(Host h) {
        h.running = false;
        h.out &= joined.stream().noneMatch(this::newcomer); // not there when it was shut out for its health
        h.told = stale = true;
    }

    public void listCloses() {
        hosts.stream().filter(h -> wholeList && !h.inList).forEach(h -> gone(h.id));
    }

    public void joined(int id, int zone, double usual) {
        lost(id);
        Proxy p = proxy(id);
        p.zone = zone;
        p.usual = usual;
        p.bound = new Table[full];
        joined.add((int) joined.stream().takeWhile(o -> o.usual >= usual).count(), p); // asked most: first
    }

    public void lost(int id) { // guards against answers that cannot come: its windows are free at once,
        Proxy p = proxy(id);   // though what is on its way to it is still in the channel
        p.unanswered.forEach(m -> m.lost = true);
        p.unanswered.clear();
        IntStream.range(0, p.bound.length).forEach(b -> put(p, b, null));
        p.fresh = p.out = 0;
        joined.remove(p);
    }

    public void inForce(int id, int answered, double tookMs) {
        Proxy p = proxy(id);
        if (p.unanswered.stream().anyMatch(m -> m.mark == answered)) {
            Message m;
            do { // what was sent to it before is applied too
                m = p.unanswered.poll();
                p.out -= m.lines;
                m.left = true;
            } while (m.mark != answered);
            provenAt = Math.max(provenAt, m.at);
            double shown = Math.max(1, tookMs / (m.leavesBy - m.at + transitMost)), since = m.at;
            inChannel.stream().filter(o -> o.at >= since).forEach(o -> o.slow = shown);
            roundTrip += 0.2 * (tookMs - roundTrip); // smoothed over about the last five answers
            reckonChannel();
        }
    }

    /**
     * A message waits until its proxy answers it or a later one, and counts until all older ones have left: in
     * the room of lost ones it may overtake them. Where no answer comes it has left once the channel had time
     * for all ahead of it, as slow as it last was, and its stream ended or a later message was answered.
     */
    private void reckonChannel() {
        double slowest = 5 * mostWaiting / pace; // as slow as a channel gets, whatever an answer tells
        inChannel.removeIf(m -> !m.left && now > m.at + transitMost + (m.lost || m.at < provenAt
                ? Math.min(slowest, m.slow * (m.leavesBy - m.at)) : slowest));
        double first = inChannel.stream().filter(m -> !m.left && !m.lost).mapToDouble(m -> m.at)
                .findFirst().orElse(now);
        inChannel.removeIf(m -> m.left && m.at <= first);
        waiting = inChannel.stream().mapToDouble(m -> m.lines).sum();
    }

    public void tally(int id, int zone, int total, int bad, double meanMs, double span) {
        Host h = host(id);
        lag += 0.05 * (span - lag); // over about the last 20 sums
        Zone from = zone(zone);
        boolean near = zone == h.zone, counts = near || now >= from.cutUntil; // a cut: they tell nothing
        double[] sum = {total, bad, (total - bad) * meanMs}; // ENDED, BAD, SPENT
        for (double[] met : List.of(near ? from.near : from.far, counts ? h.met : new double[3])) {
            Arrays.setAll(met, i -> met[i] + sum[i]);
        }
        stale = true;
    }

    public void traffic(int id, int operation, double span, int total) {
        double[] asked = proxy(id).asked;
        asked[operation] += 0.3 * (1000 * total / Math.max(1, span) - asked[operation]); // 3 reports
    }

    public void charge(int slice, boolean given) {
        Table t = sliceTable(slice);
        t.owner = null;
        t.ownerless = given ? now : Double.POSITIVE_INFINITY; // another steward's owner may still be writing
        Arrays.fill(t.laid, t.length = 0);
    }

    public void held(int slice, int id, double weight) {
        sliceTable(slice).owner = host(id);
        setLaid(host(id), sliceTable(slice), weight);
    }

    private Host host(int id) {
        for (; hosts.size() <= id; hosts.get(hosts.size() - 1).id = hosts.size() - 1) {
            hosts.add(new Host());
        }
        return hosts.get(id);
    }

    private Host listed(int id, int zone, int kind, double weight) {
        Host h = host(id);
        h.inList = true;
        stale = true;
        h.zone = zone;
        h.kind = kind;
        Stream.generate(() -> new double[3]).limit(Math.max(0, kind + 1 - metBy.size())).forEach(metBy::add);
        h.weight = weight > 0 ? weight : 1;
        return h;
    }

    private Zone zone(int id) {
        Stream.generate(Zone::new).limit(Math.max(0, id + 1 - zones.size())).forEach(zones::add);
        return zones.get(id);
    }

    private Proxy proxy(int id) {
        for (; proxies.size() <= id; proxies.get(proxies.size() - 1).id = proxies.size() - 1) {
            proxies.add(new Proxy());
        }
        return proxies.get(id);
    }

    private Table addTable(int mask, int homeZone, int number) {
        Table t = new Table();
        t.base = tables.size();
        t.members = hosts;
        t.operations = mask;
        t.homeZone = homeZone;
        t.number = sliced ? number : (lastNumber = lastNumber % 65534 + 1);
        tables.add(t);
        return t;
    }

    private void addTablesFor(int k) { // one for all open to the same hosts, and for each zone if so confined
        int alike = IntStream.range(0, operations.length).filter(j -> operations[j].openTo(operations[k]))
                .map(j -> 1 << j).sum();
        boolean home = operations[k].homeZoneOnly();
        for (int z = 0; z < (home ? operations[k].zoneCount() : 1) && alike >> k << k == alike; z++) {
            addTable(Integer.bitCount(alike) == operations.length ? 0 : alike, home ? z : -1, 0);
        }
    }

    private Table sliceTable(int slice) {
        return tables.stream().filter(t -> t.number == slice).findFirst()
                .orElseGet(() -> addTable(0, -1, slice));
    }

    private Collection<Proxy> users(Table t) {
        return sliced ? joined : t.users;
    }

    private void put(Proxy p, int base, Table t) {
        Stream.ofNullable(p.bound[base]).forEach(on -> on.users.remove(p));
        p.bound[base] = t;
        Stream.ofNullable(t).forEach(on -> on.users.add(p));
    }

    private void order(Proxy p, double lines) {
        waiting += cost(p, lines);
        p.fresh += lines;
    }

    private double cost(Proxy p, double lines) {
        return lines + (p.fresh > 0 ? 0 : perMessage); // what is begun takes no further message
    }

    private Operation operation(Table t) { // one of those that it is for
        return operations[Integer.numberOfTrailingZeros(t.operations) % operations.length];
    }

    private boolean open(Host h, Table t) {
        return operation(t).isOpenTo(h.zone, h.kind) && (t.homeZone < 0 || t.homeZone == h.zone)
                && (t.part < 0 || h.part >= t.part && h.part < t.part + t.span);
    }

    private double laid(Host h, Table t) {
        return h.id < t.laid.length ? t.laid[h.id] : 0;
    }

    private void setLaid(Host h, Table t, double weight) {
        t.laid = t.laid.length > h.id ? t.laid : Arrays.copyOf(t.laid, h.id + 32);
        t.length += (weight > 0 ? 1 : 0) - (t.laid[h.id] > 0 ? 1 : 0);
        t.laid[h.id] = weight;
    }

    private List<Table> tablesWith(Host h) {
        return tables.stream().filter(t -> laid(h, t) > 0).toList();
    }

    private void fade(Host h, double keep) {
        stale = true;
        Arrays.setAll(h.met, i -> h.met[i] * keep);
    }

    /** The fleet's figures, which no rule works out for each host: once for each input that changes them. */
    private void reckon() {
        if (!stale && reckonedAt == now) {
            return;
        }
        ended = bad = 0;
        metBy.forEach(met -> Arrays.fill(met, 0));
        for (Host h : hosts) {
            if (h.running) {
                ended += h.met[ENDED];
                bad += h.met[BAD];
                double part = h.out || !isWarm(h) ? 0 : 1;
                Arrays.setAll(metBy.get(h.kind), i -> metBy.get(h.kind)[i] + part * h.met[i]);
            }
        }
        for (Table t : tables) {
            t.weightListed = t.weightIn = t.warmIn = t.ableIn = 0;
            t.load = load(joined.stream().filter(p -> t.homeZone < 0 || t.homeZone == p.zone).toList());
            for (Host h : t.members) {
                double weight = h.running && open(h, t) ? h.weight : 0;
                t.weightListed += weight;
                t.weightIn += h.out ? 0 : weight;
                t.warmIn += h.out || !isWarm(h) ? 0 : weight;
                t.ableIn += h.out ? 0 : weight * able(h);
            }
        }
        if (stale) {
            usualLate = best(0.33, h -> lateness(h.met));
            usualBad = best(0.33, h -> h.met[BAD] / h.met[ENDED]);
            mostLate = best(0.62, h -> lateness(h.met)); // a third of them broken or cut off does not move it
        }
        stale = false;
        reckonedAt = now;
    }

    /** Where the best part ends. In a jam all are bad; beside broken hosts the best are not. */
    private double best(double part, ToDoubleFunction<Host> figure) {
        double[] all = hosts.stream().filter(h -> h.running && !h.out && h.met[ENDED] >= 3)
                .mapToDouble(figure).sorted().toArray();
        return all.length > 0 ? all[(int) (all.length * part)] : 0;
    }

    private boolean withdrawTold() { // together, as each message has a head, a quarter of the queue at least
        List<Host> told = hosts.stream().filter(h -> h.told && !h.out).toList();
        List<Proxy> concerned = told.isEmpty() ? List.of() : joined.stream()
                .filter(p -> told.stream().anyMatch(h -> holds(p, h))).toList();
        double room = mostWaiting - waiting, need = concerned.stream()
                .mapToDouble(p -> cost(p, told.stream().filter(h -> holds(p, h)).count())).sum();
        drainsWait = !told.isEmpty() && (bindsWait || need > room && room < 0.25 * mostWaiting
                || !mayWrite(concerned, 0, DRAINS)); // nothing else is written meanwhile
        return !drainsWait && !gathers(concerned) && each(h -> h.told && !h.out && waiting + holders(h)
                .stream().mapToDouble(p -> cost(p, 1)).sum() <= mostWaiting, h -> withdraw(h, true))
                .getAsBoolean();
    }

    /** Guards the cap of messages against a drain told of word by word: the last half of it is spaced. */
    private boolean gathers(List<Proxy> to) { // others may be written meanwhile, and drains ride along
        return now - drainedAt < Math.min(grace / 2, messagesOver / (0.6 * messagesMost)) && to.stream()
                .anyMatch(p -> messagesMost > 0 && p.fresh == 0 && capUsed(p) > LINES * messagesMost);
    }

    private List<Proxy> holders(Host h) { // no others get a message
        return joined.stream().filter(p -> holds(p, h)).toList();
    }

    private boolean holds(Proxy p, Host h) { // a standing table, or another steward's, may hold any host
        return sliced || Arrays.stream(p.bound).anyMatch(t -> t == null || laid(h, t) > 0);
    }

    private void withdraw(Host h, boolean out) {
        h.out = out;
        drainedAt = h.told ? now : drainedAt;
        stale = true;
        orders.withdraw(h.id, out);
        holders(h).forEach(p -> order(p, 1));
        tablesWith(h).forEach(t -> t.sentAt = now);
    }

    private boolean newcomer(Proxy p) {
        return Arrays.asList(p.bound).contains(null);
    }

    // ---- 1 health from late sums and trial return

    private double lateness(double[] met) { // mean, in objectives; a try that failed counts as late by half
        return (met[SPENT] / objective + 1.5 * met[BAD]) / Math.max(1, met[ENDED]);
    }

    /** Guards against a host at which tries fail, and not at the best third; a slow one goes when all do. */
    private boolean fails(Host h) {
        double failed = h.met[BAD], good = h.met[ENDED] - failed;
        reckon();
        boolean quick = h.met[SPENT] < 1.3 * good * objective * usualLate;
        return h.running && !h.sick && failed >= (h.trialSince >= 0 ? 2 : 4) // bad tries that prove enough
                && failed >= (good + failed) * Math.max(quick ? 0.3 : 0.97, 0.15 + 2.2 * usualBad);
    }

    /**
     * Guards against a way between zones that is cut, slow or lossy, where proxies meet a host too seldom to
     * shun it: they keep to their own zone for a while. It could harm where only hosts elsewhere are lost.
     */
    private boolean senseCut() {
        for (Zone z : zones) {
            if (rate < 0.25 * joined.size() * hosts.size() && z.near[ENDED] >= 5 && z.far[ENDED] >= 10
                    && lateness(z.far) > lateness(z.near) + 0.5 && lateness(z.near) < 0.5) {
                hosts.stream().filter(h -> now >= z.cutUntil).forEach(h -> fade(h, 0)); // of the way
                z.cutUntil = now + 10_000; // then the far hosts are tried anew
                Arrays.fill(z.far, 0);
            }
            for (Table t : now < z.cutUntil ? List.copyOf(tables.subList(0, full)) : List.<Table>of()) {
                if (tables.stream().noneMatch(o -> o.base == t.base && o.homeZone == zones.indexOf(z))) {
                    addTable(t.operations, zones.indexOf(z), 0).base = t.base;
                }
            }
        }
        return false;
    }

    private Table reach(Proxy p, Table base) { // the full table, or that of the proxy's own zone
        return now >= zone(p.zone).cutUntil ? base : tables.stream().filter(t -> t.base == base.base
                && t.homeZone == p.zone && t.part < 0 && t.warmIn > 0 && t.length > 0).findAny().orElse(base);
    }

    private void markSick(Host h) {
        h.sick = true;
        h.trialSince = -1;
        h.backAt = now + 3000 * Math.pow(1.5, Math.min(4, h.strikes++)); // 3 s, up to 15 s for what stays bad
    }

    private void startTrial(Host h, double share) { // 0.15 is a try a second or so: enough to judge by
        h.sick = false;
        h.trialSince = now;
        h.share = share;
        fade(h, 0);
    }

    private boolean passesTrial(Host h) {
        double since = now - h.trialSince; // reports are up to 1.6 s late; after 6 s silence must do
        return h.trialSince >= 0 && since > 1500 && (h.met[ENDED] >= 2 || since > 6000);
    }

    private void growShare(Host h) {
        h.share = Math.min(h.bears, 4 * h.share); // two steps at most: few orders
        h.trialSince = h.share < h.bears ? now : -1;
        h.strikes = h.share < h.bears ? h.strikes : Math.max(0, h.strikes - 1);
    }

    /** Guards against a host too weak for its share. It could harm where a passing jam looks like that. */
    private boolean isSlow(Host h) {
        return steady(h, 4) && now > h.restUntil && h.share > 0.3 && usualLate < 0.5
                && lateness(h.met) * Math.min(1, h.met[ENDED] / 8) > Math.max(0.55, 1.6 * usualLate);
    }

    private boolean isOfSlowKind(Host h) { // where sums are thin, hosts of a kind tell of each other
        double late = lateness(metBy.get(h.kind));
        return late > 0.5 && metBy.get(h.kind)[ENDED] >= 50 && steady(h, 0) && h.share == 1
                && now > h.restUntil && metBy.stream()
                .anyMatch(m -> m[ENDED] >= 50 && lateness(m) < Math.min(0.35, late / 2));
    }

    private boolean wasSlow(Host h) {
        return steady(h, 4) && h.share < 1 && now > h.restUntil + 40_000 && lateness(h.met) < usualLate;
    }

    private boolean steady(Host h, double tries) {
        reckon();
        return h.running && !h.sick && h.trialSince < 0 && isWarm(h) && h.met[ENDED] >= tries;
    }

    private void setShare(Host h, double share) {
        h.share = h.bears = share;
        h.restUntil = now + 8000; // its queue drains, late tries end, and the sums come in
        fade(h, 0);
    }

    // ---- 2 cold-host guard

    private boolean isWarm(Host h) {
        return now - h.started >= warmAfter;
    }

    private double able(Host h) { // at least, as a share of what it can do when warm
        return isWarm(h) ? 1 : coldShare + (1 - coldShare) * Math.max(0, now - h.started) / warmAfter;
    }

    /** The listed weight; for a new host the design's ramp under what it can do, less as many tries fail. */
    private double wanted(Host h, Table t) {
        double age = Math.max(0, now - h.started);
        if (!h.running || !open(h, t) || sliced) {
            return sliced && h == t.owner ? h.weight : 0;
        } else if (age >= Math.max(10_000, warmAfter)) {
            return h.weight * h.share;
        }
        reckon();
        double well = 1 - bad / Math.max(20, ended);
        double sure = able(h) * (0.75 + 0.25 * Math.min(1, age / warmAfter));
        return h.weight * h.share * Math.min(0.5 + age / 20_000, sure) * Math.max(0.01, well);
    }

    /** Guards against a cold host sent all by proxies that shun others: it waits while warm ones are in. */
    private boolean keptFromStorm(Host h) {
        reckon();
        return now < stormUntil && !isWarm(h) && load(joined) >= 0.25 * joined.size() * hosts.size()
                && tables.stream().allMatch(t -> !inUse(t) || !open(h, t) || t.warmIn > 0);
    }

    /** Guards against a restarted or weak host that keeps its full weight: cut past the windows. */
    private boolean cutRestarted() {
        return each(h -> !h.out && h.running && (h.share < 1 || !isWarm(h)) && tables.stream()
                .anyMatch(t -> wanted(h, t) < 0.6 * laid(h, t))
                && (isWarm(h) ? mayTrouble(h) : mayWrite(holders(h), 1, URGENT)),
                h -> tables.forEach(t -> lay(h, t, wanted(h, t)))).getAsBoolean();
    }

    private boolean spared(Host h) { // half of the weight that each table can use stays in
        reckon();
        return tables.stream().allMatch(t -> !inUse(t) || !open(h, t)
                || t.weightIn - h.weight >= 0.5 * t.weightListed);
    }

    private boolean isLast(Host h) { // of a table left with none but sick hosts: they are let back in
        return h.running && tables.stream().anyMatch(t -> inUse(t) && open(h, t)
                && hosts.stream().noneMatch(o -> o.running && !o.sick && open(o, t)));
    }

    private boolean due(Host h, Table t) {
        double want = wanted(h, t), has = laid(h, t);
        return (has > 0 || !keptFromStorm(h)) && ((want == 0) != (has == 0)
                || Math.abs(want - has) > 0.12 * Math.max(want, has) // a ramp is a dozen steps
                || want == h.weight && has != want);
    }

    private boolean backIn(Host h) { // when every table has its due weight
        return h.out && h.running && !h.sick && !keptFromStorm(h)
                && tables.stream().noneMatch(t -> due(h, t));
    }

    private boolean levelDue(Table t, int k) {
        return !sliced && (t.operations == 0 || (t.operations >> k & 1) != 0)
                && (t.tries != tries() || Math.abs(t.letIn[k] - opLevel[k]) > 0.02); // finer: not worth it
    }

    private boolean cutDue(Table t) { // as urgent as a withdrawal: each moment of a jam lengthens it
        return IntStream.range(0, operations.length).anyMatch(k -> levelDue(t, k) && opLevel[k] < t.letIn[k]);
    }

    private int pending(Table t) {
        return (int) (IntStream.range(0, operations.length).filter(k -> levelDue(t, k)).count()
                + t.members.stream().filter(h -> due(h, t)).count());
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
        return joined.stream().filter(p -> isFull(t) && t.length > 0
                && (t.homeZone < 0 || t.homeZone == p.zone) && mustMove(p, t));
    }

    private boolean mustMove(Proxy p, Table base) {
        Table on = p.bound[base.base], to = reach(p, base);
        return on != to && (on == null || to != base || span == 0 || on.part < 0
                || 2 * on.span < span || isWeak(on));
    }

    private boolean isWeak(Table t) { // a part that hosts have left, or more asked than others
        return load(t.users) * tables.get(t.base).ableIn > 1.5 * tables.get(t.base).load * t.ableIn;
    }

    private double load(Collection<Proxy> of) {
        return of.stream().mapToDouble(p -> p.usual).sum();
    }

    /** The depth rule: where binds would be last of all to finish, the table's other lines wait for them. */
    private boolean onlyBinds(Table t) {
        return isFull(t) && unsent(t, 2) > 0 && (2 * roundTrip * pace + unsent(t, 2)) * 1.05
                > tables.stream().limit(full).mapToDouble(o -> unsent(o, 1) + unsent(o, 2)).max().orElse(0);
    }

    private void lay(Host h, Table t, double weight) {
        if (weight != laid(h, t)) {
            orders.line(t.number, h.id, weight);
            setLaid(h, t, weight);
            users(t).forEach(p -> order(p, 1 + orders.lineBrings(h.id, p.id)));
        }
    }

    private void layDue(Table t) {
        t.members.stream().filter(h -> due(h, t)).limit(piece(t)).forEach(h -> lay(h, t, wanted(h, t)));
        IntStream.range(0, operations.length).filter(k -> levelDue(t, k)).forEach(k -> layLevel(t, k));
        t.tries = tries();
        t.sentAt = now;
    }

    /** The smallest pending sub-update goes first; each is sent whole, once all its proxies have room. */
    private boolean sendSubUpdate() {
        double gap = Math.max(roundTrip, messagesMost > 0 ? messagesOver / (0.6 * messagesMost) : 0);
        Table next = tables.stream().filter(t -> t.length == 0 || gapOver(t, gap) || cutDue(t))
                .filter(t -> pending(t) > 0 && !onlyBinds(t) && allHaveRoom(t))
                .min(Comparator.comparingDouble(t -> unsent(t, 1))).orElse(null);
        Stream.ofNullable(next).forEach(this::layDue);
        return next != null;
    }

    private boolean bindProxies(boolean fresh) { // newcomers first, as they may hold hosts that drain
        reckon();
        boolean fired = bindsWait = false;
        for (Table t : tables.stream().allMatch(t -> t.length > 0 || t.weightIn == 0) // first the lines
                ? List.copyOf(tables.subList(0, full)) : List.<Table>of()) {
            List<Proxy> due = unbound(t).filter(p -> !fresh || p.bound[t.base] == null).toList();
            List<Table> some = due.isEmpty() ? List.of() : partsOf(t, fresh && rush ? 1 : span);
            for (Proxy p : due) {
                Table to = reach(p, t) != t ? reach(p, t) : leastAsked(some, t);
                double lines = 1 + to.length + operations.length + orders.bindBrings(to.number, p.id)
                        + to.members.stream().filter(h -> h.out && laid(h, to) > 0).count(); // withdrawn: too
                if (mustMove(p, t) && mayWrite(List.of(p), lines, fresh ? DRAINS : LINES)) {
                    put(p, t.base, to);
                    orders.bind(to.number, to.operations, p.id);
                    order(p, lines);
                    fired = true;
                } else {
                    bindsWait |= fresh && waiting + cost(p, lines) > mostWaiting;
                }
            }
        }
        return fired;
    }

    private List<Table> partsOf(Table base, int wide) { // the tables that share out the dealt parts
        int count = wide == 0 ? 0 : Math.min(parts, Math.max(2, parts / wide)); // none is all of them
        List<Table> all = IntStream.range(0, count)
                .mapToObj(i -> part(base, i * parts / count, (i + 1) * parts / count)).toList();
        reckon();
        all.stream().filter(t -> t.length == 0).forEach(this::layDue);
        return all;
    }

    private Table leastAsked(List<Table> of, Table base) { // for what there is
        return of.stream().filter(t -> t.warmIn > 0)
                .min(Comparator.comparingDouble(t -> (load(t.users) + 1e-6) / t.ableIn)).orElse(base);
    }

    private Table part(Table base, int from, int to) {
        return tables.stream().filter(t -> t.base == base.base && t.part == from && t.span == to - from)
                .findFirst().orElseGet(() -> {
                    Table t = addTable(base.operations, base.homeZone, 0);
                    t.base = base.base;
                    t.part = from;
                    t.span = to - from;
                    t.members = new ArrayList<>(hosts.stream().filter(h -> open(h, t)).toList());
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
        double most = 3300 * pace / Math.max(1, joined.size()) - perMessage - 1 - operations.length;
        double lines = tables.subList(0, full).stream().mapToDouble(t -> t.length
                / (t.homeZone < 0 ? 1.0 : operation(t).zoneCount())).sum(); // of one proxy
        List<Host> in = parts > 0 ? List.of() : hosts.stream().filter(h -> h.running && !h.out && isWarm(h))
                .sorted(Comparator.comparingInt((Host h) -> h.zone).thenComparingInt(h -> h.kind)).toList();
        boolean wide = !sliced && lines > (span > 0 ? 1 : 1.25) * most;
        rush = !sliced && waiting + joined.stream().filter(this::newcomer).count()
                * Math.min(lines, Math.max(standing, most)) > 1000 * pace;
        if ((rush || wide) && parts == 0 && !in.isEmpty()) {
            parts = Math.max(1, in.size() / standing);
            IntStream.range(0, in.size()).forEach(i -> in.get(i).part = i % parts);
        }
        int fits = wide && parts > 1 ? (int) Math.max(1, parts * Math.min(1, most / lines)) % parts : 0;
        span = fits == 0 || span == 0 || fits > 2 * span || 2 * fits < span ? fits : span;
        for (Host h : parts == 0 ? List.<Host>of() : hosts) { // newcomers go where least can be done
            if (h.running && h.part < 0) {
                h.part = IntStream.range(0, parts).boxed().min(Comparator.comparing(this::dealt)).orElse(0);
                tables.stream().filter(t -> t.part >= 0 && open(h, t)).forEach(t -> t.members.add(h));
                stale = true;
            }
        }
        List<Table> idle = tables.stream().filter(t -> !sliced && !isFull(t) && t.users.isEmpty()
                && zones.stream().allMatch(z -> now >= z.cutUntil)
                && (t.part < 0 || !rush && (span == 0 || Math.abs(t.span - span) > 1))).toList();
        idle.forEach(t -> orders.wipe(t.number));
        tables.removeAll(idle);
        if (!rush && !wide && tables.stream().allMatch(t -> t.part < 0)) {
            hosts.forEach(h -> h.part = -1);
            parts = 0;
        }
        return false;
    }

    // ---- 4 channel ledger

    private boolean gapOver(Table t, double least) { // later changes merge; a quarter of it all for heads
        return now - t.sentAt >= Math.max(least, 4 * joined.size() * perMessage / pace)
                || users(t).stream().allMatch(p -> p.fresh > 0);
    }

    private boolean mayTrouble(Host h) {
        return tablesWith(h).stream().allMatch(t -> gapOver(t, 0)) && mayWrite(holders(h), 1, URGENT);
    }

    /** How much may wait: the ordinary at most two seconds, or half of the grace, however deep the queue. */
    private double upTo(double part, int users) { // and room for a line to each of them
        return part > LINES ? part * mostWaiting : Math.min(LINES * mostWaiting,
                Math.max(Math.min(2000, grace / 2) * pace, 2 * users * (1 + perMessage)));
    }

    private boolean mayWrite(Collection<Proxy> to, double lines, double part) {
        boolean slow = roundTrip > 0.5 * grace && waiting > 0.25 * mostWaiting; // a drain would come too late
        return (part == DRAINS || !drainsWait && !slow)
                && waiting + to.stream().mapToDouble(p -> cost(p, lines)).sum() <= upTo(part, to.size())
                && to.stream().allMatch(p -> messagesMost == 0 || p.fresh > 0
                || capUsed(p) + 1 <= Math.min(part + 0.2, Math.max(part, URGENT)) * messagesMost);
    }

    private int capUsed(Proxy p) {
        p.written.removeIf(at -> at <= now - messagesOver - 1);
        return p.written.size();
    }

    /** The window: a round trip's lines, at least 5 messages. Who is slow or frozen holds up no batch. */
    private boolean hasRoom(Proxy p, double lines, Table t) {
        return p.unanswered.size() < 5 || p.out + lines <= roundTrip * pace / users(t).size()
                || now - p.unanswered.peek().at > Math.max(3 * roundTrip, 2 * transitMost);
    }

    /** Guards against a sub-update that no queue holds: then it goes in pieces of half of what one may. */
    private long piece(Table t) {
        int to = Math.max(1, users(t).size());
        return (long) Math.max(1, 0.5 * upTo(LINES, to) / to - perMessage);
    }

    private boolean allHaveRoom(Table t) { // a line may bring one more to who was with another steward
        List<Host> due = t.members.stream().filter(h -> due(h, t)).limit(piece(t)).toList();
        double lines = Math.min(pending(t), piece(t)) + users(t).stream().mapToInt(p -> due.stream()
                .mapToInt(h -> orders.lineBrings(h.id, p.id)).sum()).max().orElse(0);
        return mayWrite(users(t), lines, LINES) && users(t).stream().allMatch(p -> hasRoom(p, lines, t));
    }

    private void requestBarrier() { // one for all messages of this reply; each proxy concerned answers it
        List<Proxy> concerned = joined.stream().filter(p -> p.fresh > 0).toList();
        reckonChannel(); // without what was only reckoned with
        if (!concerned.isEmpty()) {
            orders.barrier(mark = (mark + 1) % 65536, false);
        }
        for (Proxy p : concerned) {
            Message m = new Message();
            m.mark = mark;
            m.at = now;
            m.lines = orders.lines(p.id, p.fresh) + perMessage; // those that the way adds count too
            waiting += m.lines;
            m.leavesBy = now + waiting / pace;
            inChannel.add(m);
            p.out += m.lines;
            p.unanswered.add(m);
            p.written.add(now);
            p.fresh = 0;
        }
    }

    // ---- 3 levels and further tries

    private FurtherTries tries() { // none where each full host would send on to the next; others feed storms
        return now < stormUntil && letIn < 0.9 ? FurtherTries.NONE : FurtherTries.ONE_ON_PROOF;
    }

    private void layLevel(Table t, int k) {
        t.letIn[k] = opLevel[k];
        double each = users(t).stream().mapToDouble(p -> p.asked[k]).sum() / Math.max(1, users(t).size());
        double figure = measure != Measure.PER_SECOND ? opLevel[k] : opLevel[k] < 1 ? opLevel[k] * each
                : 1e6; // more than any proxy is asked
        orders.level(t.number, 1 << k, figure, tries());
        users(t).forEach(p -> order(p, 1));
    }

    private double asked(int k) {
        return joined.stream().mapToDouble(p -> p.asked[k]).sum();
    }

    /** Guards against a fleet too small, whatever made it so: what is let in follows what ends well. */
    private boolean setLevels() {
        rate = IntStream.range(0, operations.length).mapToDouble(this::asked).sum();
        double work = IntStream.range(0, operations.length).mapToDouble(this::work).sum();
        stale |= rate > 0 && objective != work / rate;
        objective = rate > 0 ? work / rate : objective;
        reckon();
        double good = ended - bad, late = mostLate;
        quickest = ended < 20 || usualLate == 0 ? quickest : Math.min(quickest, usualLate); // unhurried
        stormUntil = good < ended - 0.3 * Math.max(20, ended) || late > Math.max(0.45, 4 * quickest)
                ? now + 3000 : stormUntil; // a fifth of the hosts dead makes less of one
        if (now >= forgetAt) {
            forgetAt = Double.POSITIVE_INFINITY;
            hosts.forEach(h -> fade(h, 0)); // what ended till now was let in before the cut
            return true;
        }
        if (ended < 20 || rate <= 0 || now < levelAt) {
            return false;
        }
        double before = letIn;
        if (late > 0.5 && usualLate > 0.35) {
            letIn = Math.max(0.1, letIn * Math.max(0.6, Math.min(0.55 / late, 0.95 * good / ended)));
        } else if (late < 0.4 && letIn < 1) {
            letIn = Math.min(1, letIn * (1 + (0.45 - late)));
        }
        forgetAt = letIn < before ? now + 2000 + Math.max(1000, lag) : forgetAt; // queues end, sums come
        levelAt = (letIn < before ? forgetAt : now) + 1500; // and fade
        spreadLevels((1 - letIn) * work);
        return letIn != before;
    }

    private double work(int k) {
        return asked(k) * operations[k].objective();
    }

    private void spreadLevels(double cut) { // taken where a unit of work (by its objective) earns least
        List<Integer> cheapest = IntStream.range(0, operations.length).boxed().sorted(
                Comparator.comparingDouble(k -> operations[k].value() / operations[k].objective())).toList();
        Arrays.fill(opLevel, 1);
        for (double floor : new double[] {0.4, 0.05}) { // first each to 0.4, so that none is given up early
            for (int k : cheapest) {
                double take = Math.min(cut, Math.max(0, opLevel[k] - floor) * work(k));
                opLevel[k] -= work(k) > 0 ? take / work(k) : 0;
                cut -= take;
            }
        }
    }

    /** A slice has one line; a lost owner goes, and the next comes once no write can be in its hands. */
    private boolean placeSlices() {
        for (Table t : sliced ? tables : List.<Table>of()) {
            boolean lost = t.owner != null && !t.owner.running;
            t.ownerless = lost ? now : t.ownerless;
            t.owner = t.owner != null && !lost ? t.owner : now - t.ownerless <= ownerAfter ? null
                    : hosts.stream().filter(h -> h.running && !h.out).min(Comparator.comparingDouble(h ->
                    tables.stream().filter(o -> o.owner == h).count() / h.weight)).orElse(null);
        }
        return false; // gone through before the lines are laid, it finds nothing new
    }
}
