package linenring.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import linenring.plan.Orders.FurtherTries;
import linenring.plan.StartFigures.Measure;
import linenring.plan.StartFigures.Operation;

/**
 * Every decision of one steward. Called with what is seen: {@code clock} first, then any of the calls under
 * "what is seen", then {@code settle} once for all that came at that time: it goes through the rules until
 * none fires. The interface: it orders through {@link Orders}; it is told {@link StartFigures} at start.
 *
 * <p>The design is ESPRES: lines are held here; all pending changes of a shared table are one sub-update; the
 * smallest goes first, as a batch, once all its proxies have room in their windows of unanswered messages.
 * Beside it stand six mechanisms: 1 health from late sums and trial return; 2 cold-host guard; 3 last-line
 * guard; 4 levels and further tries; 5 channel ledger; 6 start-over (owners of slices included).
 */
public final class Balance {
    private static final int ENDED = 0, BAD = 1, SPENT = 2;
    private static final double LINES = 0.67, URGENT = 0.85; // parts of the channel's limits: see mayWrite

    /** All that is known of a host. */
    private static final class Host {
        int id, zone, kind;
        double weight = 1, started = Double.NEGATIVE_INFINITY;
        boolean running, told, inList;  // listed ready; told it drains or is gone; in the list being read
        boolean out, sick;              // shut out at the proxies; to be shut out for its health
        double backAt, trialSince = -1; // when a sick one is tried again; start of its trial step
        int strikes;                    // failed trials in a row
        double share = 1, bears = 1;    // part of its weight that health allows, and its end after a trial
        double restUntil;               // no judging of its lateness before that
        double[][] met = {{}, {}, {}};  // late sums (ENDED, BAD, SPENT) by zone of the proxies
        double[] laid = {};             // weight in each shared table, as last sent
    }

    /** A message to a proxy that it has not answered yet. */
    private record Message(int mark, double at, double lines) {
    }

    private static final class Proxy {
        int zone;
        boolean joined;
        int[] bound = {};               // number it is bound to, by shared table; -1 for none
        double[] asked = {};            // invocations a second, by operation
        double fresh;                   // lines ordered for it in this reply
        final Deque<Message> unanswered = new ArrayDeque<>();
        final Deque<Double> written = new ArrayDeque<>(); // times of the messages that the cap counts
    }

    /** A shared table, for the operations open to the same hosts; its number changes when laid anew. */
    private static final class Table {
        int index, operations, number, old = -1;
        int homeZone = -1;              // that of the proxies and hosts it is for, or -1
        boolean mine = true;            // slices: in this steward's charge
        Host owner;                     // slices: the host of its one line
        double sentAt = Double.NEGATIVE_INFINITY, ownerless;
        double[] letIn;
        FurtherTries tries;
    }

    private final Orders orders;
    private final Operation[] operations;
    private final Measure measure;
    private final double pace, perMessage, mostWaiting, messagesOver, transitMost, coldShare, warmAfter;
    private final double askEvery, ownerAfter; // ownerAfter: no write is in a former owner's hands; or -1
    private final int messagesMost;
    private final boolean goneNeedNotStop, sliced;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Table> tables = new ArrayList<>();
    private final List<BooleanSupplier> rules;
    private double now, fadedAt, roundTrip, alarmAt = -1, askedAt, stormUntil = -1, lateUntil;
    private double lostLines, lostUntil; // written to streams since lost: they may still wait in the channel
    private boolean wholeList, following;
    private int mark, lastNumber;
    private double letIn = 1, levelAt, forgetAt = Double.POSITIVE_INFINITY;
    private double endedWell, objective = 1000, quickest = 0.2; // until the first sums
    private final double[] opLevel;

    public Balance(StartFigures start, Orders orders) {
        this.orders = orders;
        operations = start.operations().toArray(new Operation[0]);
        measure = start.measure();
        pace = start.channel().pace() / 1000;
        perMessage = start.channel().perMessage() + 1; // and one for the barrier request
        mostWaiting = start.channel().mostWaiting();
        messagesMost = start.channel().messagesMost();
        messagesOver = start.channel().messagesOver();
        transitMost = start.channel().transitMost();
        roundTrip = 2 * start.channel().transit();
        coldShare = start.cold().startsAt();
        warmAfter = start.cold().warmAfter();
        goneNeedNotStop = start.goneNeedNotStop();
        askEvery = start.listMustBeAsked() ? start.askListWithin() / 3 : 1e18; // two calls may fail
        sliced = start.slices().count() > 0;
        ownerAfter = !start.slices().singleOwner() ? -1
                : start.slices().lease() + start.slices().lingers() + start.channel().grace();
        opLevel = new double[operations.length];
        Arrays.fill(opLevel, 1);
        for (int k = 0; k < operations.length && !sliced; k++) {
            addTablesFor(k);
        }
        rules = List.of(
                each(h -> h.told && !h.out && mayWriteAll(1), h -> withdraw(h, true)),
                each(this::fails, this::markSick),
                each(this::isSlow, h -> setShare(h, 0.5 * h.share)),
                each(this::wasSlow, h -> setShare(h, Math.min(1, 2 * h.share))),
                each(h -> h.sick && !h.out && spared(h) && mayWriteAll(URGENT), h -> withdraw(h, true)),
                each(h -> h.sick && h.running && now >= h.backAt,
                        h -> startTrial(h, h.bears < 1 ? h.bears : 0.15)),
                each(this::passesTrial, this::growShare),
                each(h -> h.sick && h.out && isLast(h), h -> startTrial(h, 1)),
                each(h -> h.running && !h.out && inTables(h) && keptFromStorm(h) && mayWriteAll(URGENT),
                        h -> withdraw(h, true)),
                this::cutRestarted,
                this::bindProxies,
                this::sendSubUpdate,
                this::clearOld,
                this::placeSlices,
                this::setLevels,
                this::askForList,
                this::requestBarrier,
                this::setAlarm);
    }

    private BooleanSupplier each(Predicate<Host> when, Consumer<Host> then) {
        return () -> {
            List<Host> found = hosts.stream().filter(when).toList();
            found.stream().filter(when).forEach(then); // what was done for one may settle it for the next
            return !found.isEmpty();
        };
    }

    // ---- what is seen

    /** Sums fade by half in 1.5 s: about as late as they come. */
    public void clock(double at) {
        now = at;
        if (stormUntil < 0) {
            stormUntil = now + 4000; // a fresh start knows nothing: by then the first sums have come,
            lateUntil = now + 10_000; // and by then a trend shows
            askedAt = now - askEvery;
        }
        if (now - fadedAt >= 100) { // no finer than the alarms
            double keep = Math.pow(0.5, (now - fadedAt) / 1500);
            fadedAt = now;
            hosts.forEach(h -> fade(h, keep));
        }
    }

    public void settle() {
        boolean fired = true;
        for (int pass = 0; fired; pass++) {
            fired = false;
            for (BooleanSupplier rule : rules) {
                fired |= rule.getAsBoolean();
            }
            if (pass > 1000) { // each rule ends its own condition; no list is that long
                throw new IllegalStateException("the rules do not come to rest");
            }
        }
    }

    public void listOpens(boolean whole) {
        wholeList = whole;
        hosts.forEach(h -> h.inList = false);
        askedAt = now;
    }

    public void running(int id, int zone, int kind, double weight, double started) {
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
    }

    public void stopping(int id, int zone, int kind, double weight) {
        Host h = listed(id, zone, kind, weight);
        h.running = false;
        h.told = true;
    }

    public void gone(int id) {
        Host h = host(id);
        h.inList = true;
        if (!goneNeedNotStop || !h.running) {
            h.running = false;
            h.told = true;
        }
    }

    public void listCloses() {
        hosts.stream().filter(h -> wholeList && !h.inList).forEach(h -> gone(h.id));
    }

    public void listFailed() {
        following = false;
    }

    public void joined(int id, int zone) {
        lost(id);
        Proxy p = proxy(id);
        p.zone = zone;
        p.joined = true;
        p.bound = new int[tables.size()];
        Arrays.fill(p.bound, -1);
    }

    /** Guards against answers that cannot come: a lost stream frees its windows at once. */
    public void lost(int id) {
        Proxy p = proxy(id);
        if (!p.unanswered.isEmpty()) {
            lostLines = (now < lostUntil ? lostLines : 0) + linesOut(p);
            lostUntil = now + 4 * transitMost; // a channel at a quarter of its pace has let them go
        }
        p.unanswered.clear();
        p.written.clear();
        p.joined = false;
        p.fresh = 0;
    }

    public void inForce(int id, int answered, double tookMs) {
        Deque<Message> unanswered = proxy(id).unanswered;
        if (unanswered.stream().anyMatch(m -> m.mark() == answered)) {
            while (unanswered.poll().mark() != answered) { // what was sent before is applied too
                continue;
            }
            roundTrip += 0.2 * (tookMs - roundTrip); // smoothed over about the last five answers
        }
    }

    public void tally(int id, int zone, int total, int bad, double meanMs) {
        Host h = host(id);
        double[] met = {total, bad, (total - bad) * meanMs};
        for (int i = 0; i < met.length; i++) {
            h.met[i] = h.met[i].length > zone ? h.met[i] : Arrays.copyOf(h.met[i], zone + 1);
            h.met[i][zone] += met[i];
        }
    }

    public void traffic(int id, int operation, double span, int total) {
        double[] asked = proxy(id).asked;
        asked[operation] += 0.3 * (1000 * total / Math.max(1, span) - asked[operation]); // 3 reports
    }

    public void alarm() {
        alarmAt = -1;
    }

    public void charge(int slice, boolean given) {
        Table t = sliceTable(slice);
        t.mine = given;
        t.owner = null;
        t.ownerless = now; // another steward's owner may still be writing
        hosts.forEach(h -> setLaid(h, t, 0));
    }

    public void held(int slice, int id, double weight) {
        Table t = sliceTable(slice);
        t.owner = host(id);
        setLaid(t.owner, t, weight);
    }

    // ---- records

    private Host host(int id) {
        while (hosts.size() <= id) {
            hosts.add(new Host());
            hosts.get(hosts.size() - 1).id = hosts.size() - 1;
        }
        return hosts.get(id);
    }

    private Host listed(int id, int zone, int kind, double weight) {
        Host h = host(id);
        h.inList = true;
        h.zone = zone;
        h.kind = kind;
        h.weight = weight > 0 ? weight : 1;
        return h;
    }

    private Proxy proxy(int id) {
        while (proxies.size() <= id) {
            proxies.add(new Proxy());
            proxies.get(proxies.size() - 1).asked = new double[operations.length];
        }
        return proxies.get(id);
    }

    private Table addTable(int mask, int homeZone, int number) {
        Table t = new Table();
        t.index = tables.size();
        t.operations = mask;
        t.homeZone = homeZone;
        t.number = number;
        t.letIn = new double[operations.length];
        tables.add(t);
        return t;
    }

    /** Operations open to the same hosts share a table; one confined to the proxy's zone has one a zone. */
    private void addTablesFor(int k) {
        int alike = IntStream.range(0, operations.length).filter(j -> operations[j].openTo(operations[k]))
                .map(j -> 1 << j).sum();
        boolean home = operations[k].homeZoneOnly();
        for (int z = 0; z < (home ? operations[k].zoneCount() : 1) && alike >> k << k == alike; z++) {
            addTable(Integer.bitCount(alike) == operations.length ? 0 : alike, home ? z : -1, ++lastNumber);
        }
    }

    private Table sliceTable(int slice) {
        return tables.stream().filter(t -> t.number == slice).findFirst()
                .orElseGet(() -> addTable(0, -1, slice));
    }

    private Stream<Proxy> joined() {
        return proxies.stream().filter(p -> p.joined);
    }

    private List<Proxy> users(Table t) {
        return joined().filter(p -> sliced || p.bound[t.index] == t.number).toList();
    }

    private boolean open(Host h, Table t) {
        Operation op = operations[Integer.numberOfTrailingZeros(t.operations) % operations.length];
        return (op.zones() >> h.zone & 1) != 0 && (op.kinds() >> h.kind & 1) != 0
                && (t.homeZone < 0 || t.homeZone == h.zone);
    }

    private double laid(Host h, Table t) {
        return t.index < h.laid.length ? h.laid[t.index] : 0;
    }

    private void setLaid(Host h, Table t, double weight) {
        h.laid = h.laid.length > t.index ? h.laid : Arrays.copyOf(h.laid, t.index + 1);
        h.laid[t.index] = weight;
    }

    private boolean inTables(Host h) {
        return Arrays.stream(h.laid).anyMatch(w -> w > 0);
    }

    private int length(Table t) {
        return (int) hosts.stream().filter(h -> laid(h, t) > 0).count();
    }

    private static double sum(Host h, int what) {
        return Arrays.stream(h.met[what]).sum();
    }

    private double sumAll(int what) {
        return hosts.stream().filter(h -> h.running).mapToDouble(h -> sum(h, what)).sum();
    }

    private static void fade(Host h, double keep) {
        for (double[] sums : h.met) {
            Arrays.setAll(sums, z -> sums[z] * keep);
        }
    }

    /** Where the best part of the hosts ends. In a jam all are bad; beside broken hosts the best are not. */
    private double best(double part, ToDoubleFunction<Host> figure) {
        double[] all = hosts.stream().filter(h -> h.running && !h.out && sum(h, ENDED) >= 3)
                .mapToDouble(figure).sorted().toArray();
        return all.length > 0 ? all[(int) (all.length * part)] : 0;
    }

    // ---- drains and withdrawals: past the windows, to all proxies

    private void withdraw(Host h, boolean out) {
        h.out = out;
        orders.withdraw(h.id, out);
        joined().forEach(p -> p.fresh += 1);
    }

    // ---- 1 health from late sums and trial return

    /** What a try took on average, as a share of the objective; one that failed counts as late by half. */
    private double lateness(Host h) {
        return (sum(h, SPENT) / objective + 1.5 * sum(h, BAD)) / Math.max(1, sum(h, ENDED));
    }

    /**
     * Guards against hosts that fail or swallow invocations while their process runs; it holds against any
     * cause that shows as bad tries at one host and not at the best third. It could harm where a slow host is
     * still needed: so one whose good answers are late goes only when it has hardly any.
     */
    private boolean fails(Host h) {
        double bad = sum(h, BAD);
        double good = sum(h, ENDED) - bad;
        if (!h.running || h.sick || bad < (h.trialSince >= 0 ? 2 : 4) || onlyFromSomeZones(h)) {
            return false; // 4 bad tries, or 2 on trial, prove enough
        }
        boolean quick = sum(h, SPENT) < 1.3 * good * objective * best(0.33, this::lateness);
        double usual = best(0.33, o -> sum(o, BAD) / sum(o, ENDED));
        return bad >= (good + bad) * Math.max(quick ? 0.3 : 0.97, 0.15 + 2.2 * usual);
    }

    /** Bad from one zone and good from another: the way there is cut, the host is not broken. */
    private boolean onlyFromSomeZones(Host h) {
        return IntStream.range(0, h.met[ENDED].length).anyMatch(z -> h.met[ENDED][z] >= 3
                && h.met[SPENT][z] / objective + 1.5 * h.met[BAD][z] < 0.35 * h.met[ENDED][z]);
    }

    private void markSick(Host h) {
        h.sick = true;
        h.trialSince = -1;
        h.backAt = now + 3000 * Math.pow(1.5, Math.min(4, h.strikes++)); // 3 s, up to 15 s for what stays bad
    }

    /**
     * With a share of 0.15 a host has a try a second or so: enough to judge by soon, little to lose. A weak
     * one is tried at its half, as it went for want of strength: fewer changes of weight.
     */
    private void startTrial(Host h, double share) {
        h.sick = false;
        h.trialSince = now;
        h.share = share;
        fade(h, 0);
    }

    private boolean passesTrial(Host h) {
        double since = now - h.trialSince; // reports are up to 1.6 s late; after 6 s silence must do
        return h.trialSince >= 0 && since > 1500 && (sum(h, ENDED) >= 2 || since > 6000);
    }

    private void growShare(Host h) {
        h.share = Math.min(h.bears, 4 * h.share); // two steps at most: few orders
        h.trialSince = h.share < h.bears ? now : -1;
        h.strikes = h.share < h.bears ? h.strikes : Math.max(0, h.strikes - 1);
    }

    /**
     * Guards against a host that cannot bear its listed share while the best third can: it gets half, and
     * keeps that until it is among the quickest. It could harm where a passing jam is taken for a weak host.
     */
    private boolean isSlow(Host h) {
        double others = best(0.33, this::lateness);
        return steady(h) && now > h.restUntil && sum(h, ENDED) >= 8 && h.share > 0.6 && others < 0.5
                && lateness(h) > Math.max(0.55, 1.6 * others) && !onlyFromSomeZones(h);
    }

    private boolean wasSlow(Host h) {
        return steady(h) && h.share < 1 && now > h.restUntil + 40_000 && sum(h, ENDED) >= 4
                && lateness(h) < best(0.33, this::lateness);
    }

    private boolean steady(Host h) {
        return h.running && !h.sick && h.trialSince < 0 && isWarm(h);
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

    /** The surest lower bound of what a host can do now, as a share of what it can do when warm. */
    private double able(Host h) {
        return isWarm(h) ? 1 : coldShare + (1 - coldShare) * Math.max(0, now - h.started) / warmAfter;
    }

    private double sumIn(ToDoubleFunction<Host> figure) {
        return hosts.stream().filter(h -> h.running && !h.out).mapToDouble(figure).sum();
    }

    /**
     * The listed weight; for a new host the design's ramp (half weight, full at 10 s), under what it can
     * do. When many are cold at once all shares rise as their weights fall; so these fall once more by as
     * much. When only a part of all tries ends well the rest comes again: a cold host gets that part of it.
     */
    private double wanted(Host h, Table t) {
        double age = Math.max(0, now - h.started);
        if (!h.running || !open(h, t) || sliced) {
            return sliced && h == t.owner ? h.weight : 0;
        } else if (age >= Math.max(10_000, warmAfter)) {
            return h.weight * h.share;
        }
        double all = sumIn(o -> o.weight);
        double crowd = all > 0 ? sumIn(o -> o.weight * able(o)) / all : able(h);
        double well = 1 - sumAll(BAD) / Math.max(20, sumAll(ENDED));
        double sure = able(h) * (0.5 + 0.5 * Math.min(1, age / warmAfter)); // a jam not seen yet doubles it
        return h.weight * h.share * Math.min(0.5 + age / 20_000, sure) * crowd * Math.max(0.01, well);
    }

    /**
     * Guards against a cold host that is sent the repeats of all: in a storm proxies shun the hosts that
     * failed them and fall on the one that has not. It waits outside while warm ones are in. It could harm
     * where only the cold could end the storm; levels end it first.
     */
    private boolean keptFromStorm(Host h) {
        boolean young = now - h.started < warmAfter / 3; // so cold that a jam's first seconds push it over
        return now < (young ? Math.max(lateUntil, stormUntil) : stormUntil) && !isWarm(h)
                && tables.stream().allMatch(t -> !open(h, t)
                || hosts.stream().anyMatch(o -> o.running && !o.out && open(o, t) && isWarm(o)));
    }

    /** Guards against a restarted host that keeps its full weight: cut past the windows, as a withdrawal. */
    private boolean cutRestarted() {
        boolean fired = false;
        for (Table t : tables) {
            for (Host h : hosts) {
                if (!h.out && wanted(h, t) > 0 && wanted(h, t) < 0.6 * laid(h, t) && mayWriteAll(URGENT)) {
                    lay(h, t, wanted(h, t));
                    fired = true;
                }
            }
        }
        return fired;
    }

    // ---- 3 last-line guard

    /** A host may go for its health while half of the weight that each table can use stays in. */
    private boolean spared(Host h) {
        return tables.stream().allMatch(t -> !open(h, t)
                || sumIn(o -> o != h && open(o, t) ? o.weight : 0) >= 0.5
                * hosts.stream().filter(o -> o.running && open(o, t)).mapToDouble(o -> o.weight).sum());
    }

    /** Guards against a table left with none but sick hosts: they are let back in. */
    private boolean isLast(Host h) {
        return h.running && tables.stream().anyMatch(t -> open(h, t)
                && hosts.stream().noneMatch(o -> o.running && !o.sick && open(o, t)));
    }

    // ---- the design: sub-updates over shared tables

    /** A line is due when it comes or goes, or its weight is off by an eighth: a ramp is a dozen steps. */
    private boolean due(Host h, Table t) {
        double want = wanted(h, t);
        double has = laid(h, t);
        return (has > 0 || !keptFromStorm(h)) && ((want == 0) != (has == 0) || backIn(h)
                || Math.abs(want - has) > 0.12 * Math.max(want, has) || want == h.weight && has != want);
    }

    private boolean backIn(Host h) {
        return h.out && h.running && !h.sick && !keptFromStorm(h);
    }

    private boolean levelDue(Table t, int k) {
        return !sliced && (t.operations == 0 || (t.operations >> k & 1) != 0)
                && (t.tries != tries() || Math.abs(t.letIn[k] - opLevel[k]) > 0.02); // finer: not worth it
    }

    private int pending(Table t) {
        return (int) (hosts.stream().filter(h -> due(h, t)).count()
                + IntStream.range(0, operations.length).filter(k -> levelDue(t, k)).count());
    }

    /** Lines not yet sent, by depth: binds have a step after them (2 with their own), the rest none (1). */
    private double unsent(Table t, int depth) {
        return depth == 2 ? unbound(t).count() * (1.0 + length(t)) : pending(t) * users(t).size();
    }

    private Stream<Proxy> unbound(Table t) {
        return joined().filter(p -> !sliced && p.bound[t.index] != t.number
                && (t.homeZone < 0 || t.homeZone == p.zone) && length(t) > 0);
    }

    /** The depth rule: where binds would be last of all to finish, the table's other lines wait for them. */
    private boolean onlyBinds(Table t) {
        double longest = tables.stream().mapToDouble(o -> unsent(o, 1) + unsent(o, 2)).max().orElse(0) / pace;
        return unsent(t, 2) > 0 && (2 * roundTrip + unsent(t, 2) / pace) * 1.05 > longest;
    }

    private void lay(Host h, Table t, double weight) {
        if (weight != laid(h, t)) {
            orders.line(t.number, h.id, weight);
            setLaid(h, t, weight);
            users(t).forEach(p -> p.fresh += 1);
        }
    }

    /** The new lines, then who may use them: a host comes back in when every table has its due weight. */
    private void layDue(Table t) {
        hosts.stream().filter(h -> due(h, t)).forEach(h -> lay(h, t, wanted(h, t)));
        IntStream.range(0, operations.length).filter(k -> levelDue(t, k)).forEach(k -> layLevel(t, k));
        t.tries = tries();
        t.sentAt = now;
        hosts.stream().filter(h -> backIn(h) && tables.stream().allMatch(o -> laid(h, o) == wanted(h, o)))
                .forEach(h -> withdraw(h, false));
    }

    /** The smallest pending sub-update goes first; each is sent whole, once all its proxies have room. */
    private boolean sendSubUpdate() {
        Table next = tables.stream()
                .filter(t -> t.mine && pending(t) > 0 && now - t.sentAt >= gap() && !onlyBinds(t))
                .filter(t -> allHaveRoom(t, pending(t)))
                .min(Comparator.comparingDouble(t -> unsent(t, 1))).orElse(null);
        if (next == null) {
            return false;
        }
        if (pending(next) > length(next) && length(next) > 0 && next.old == -1 && !sliced) {
            next.old = next.number; // laid anew: its proxies are bound to it, and the old one is cleared
            next.number = ++lastNumber % 65535;
            hosts.forEach(h -> setLaid(h, next, 0));
            Arrays.fill(next.letIn, 0);
        }
        layDue(next);
        return true;
    }

    /**
     * A joining proxy is bound at once: its window is empty, and what it holds may name hosts that drain. The
     * others move to a new table as a batch.
     */
    private boolean bindProxies() {
        boolean fired = false;
        for (Table t : tables) {
            boolean room = unbound(t).allMatch(p -> p.bound[t.index] == -1 || hasRoom(p, t, length(t)));
            for (Proxy p : unbound(t).toList()) {
                boolean joins = p.bound[t.index] == -1;
                if ((joins || room && !lags(p)) && mayWrite(p, length(t) + 2, joins ? URGENT : LINES)) {
                    orders.bind(t.number, t.operations, proxies.indexOf(p));
                    p.bound[t.index] = t.number;
                    p.fresh += 1 + length(t) + operations.length;
                    fired = true;
                }
            }
        }
        return fired;
    }

    private boolean clearOld() {
        boolean fired = false;
        for (Table t : tables) {
            if (t.old != -1 && unbound(t).findAny().isEmpty()
                    && users(t).stream().allMatch(p -> p.unanswered.isEmpty() || lags(p))) {
                orders.wipe(t.old);
                t.old = -1;
                fired = true;
            }
        }
        return fired;
    }

    // ---- 5 channel ledger

    /** Later changes merge meanwhile: a round trip, or what spends 60% of the cap on messages. */
    private double gap() {
        return Math.max(roundTrip, messagesMost > 0 ? messagesOver / (0.6 * messagesMost) : 0);
    }

    private double linesOut(Proxy p) {
        return p.unanswered.stream().mapToDouble(Message::lines).sum();
    }

    private double waiting() {
        return (now < lostUntil ? lostLines : 0) + joined().mapToDouble(p -> p.fresh + linesOut(p)).sum();
    }

    /**
     * Guards against a full queue and too many messages to one proxy. Each kind of order may use a part of
     * both limits: lines two thirds, so that joins and health have room; those leave some for drains.
     */
    private boolean mayWrite(Proxy p, double lines, double part) {
        while (!p.written.isEmpty() && p.written.peek() <= now - messagesOver - 1) {
            p.written.poll();
        }
        return waiting() + lines + perMessage <= part * mostWaiting && (messagesMost == 0 || p.fresh > 0
                || p.written.size() < Math.floor(part * messagesMost)); // what is begun takes no further one
    }

    private boolean mayWriteAll(double part) {
        return joined().allMatch(p -> mayWrite(p, joined().count(), part));
    }

    /** Guards against a batch held for all by one proxy that is slow, frozen or cut off: it is left out. */
    private boolean lags(Proxy p) {
        return !p.unanswered.isEmpty()
                && now - p.unanswered.peek().at() > Math.max(3 * roundTrip, 2 * transitMost);
    }

    /** The window: one round trip's worth of lines, and at least 5 messages. */
    private boolean hasRoom(Proxy p, Table t, double lines) {
        return lags(p) || p.unanswered.size() < 5
                || linesOut(p) + lines <= roundTrip * pace / Math.max(1, users(t).size());
    }

    private boolean allHaveRoom(Table t, double lines) {
        List<Proxy> users = users(t);
        return users.stream().allMatch(p -> mayWrite(p, lines * users.size(), LINES) && hasRoom(p, t, lines));
    }

    /** One barrier request for all messages of this reply; each proxy concerned answers it. */
    private boolean requestBarrier() {
        List<Proxy> concerned = joined().filter(p -> p.fresh > 0).toList();
        if (!concerned.isEmpty()) {
            mark = (mark + 1) % 65536;
            orders.barrier(mark, false);
        }
        for (Proxy p : concerned) {
            p.unanswered.add(new Message(mark, now, p.fresh + perMessage));
            p.written.add(now);
            p.fresh = 0;
        }
        return !concerned.isEmpty();
    }

    private boolean setAlarm() {
        if (alarmAt > now) {
            return false;
        }
        alarmAt = now + 100; // a tenth of a second: shorter than any report or way here
        orders.alarm(alarmAt, 1);
        return true;
    }

    // ---- 4 levels and further tries

    /**
     * Proxies try again on proof alone: a try after any failure comes too late and feeds storms. In a storm
     * under lowered levels they do not: each host that is full would send them on to the next full one.
     */
    private FurtherTries tries() {
        return now < stormUntil && letIn < 0.9 ? FurtherTries.NONE : FurtherTries.ONE_ON_PROOF;
    }

    private void layLevel(Table t, int k) {
        t.letIn[k] = opLevel[k];
        double each = asked(k) / Math.max(1, users(t).size());
        double figure = measure != Measure.PER_SECOND ? opLevel[k] : opLevel[k] < 1 ? opLevel[k] * each
                : 1e6; // more than any proxy is asked
        orders.level(t.number, 1 << k, figure, tries());
        users(t).forEach(p -> p.fresh += 1);
    }

    private double asked(int k) {
        return joined().mapToDouble(p -> p.asked[k]).sum();
    }

    /**
     * Guards against a fleet that answers late or not at all, whatever made it too small. The share let in
     * goes down towards what still ends well, but not when fewer tries end than once ended well: then the
     * sums only lag. It goes up quickly to near that, then slowly.
     */
    private boolean setLevels() {
        double ended = sumAll(ENDED);
        double good = ended - sumAll(BAD);
        double rate = IntStream.range(0, operations.length).mapToDouble(this::asked).sum();
        double work = IntStream.range(0, operations.length).mapToDouble(this::work).sum();
        objective = rate > 0 ? work / rate : objective;
        double late = best(0.62, this::lateness); // a third of them broken or cut off does not move it
        quickest = ended < 20 ? quickest : Math.min(quickest, best(0.33, this::lateness)); // unhurried
        boolean storm = good < ended - 0.3 * Math.max(20, ended) || late > Math.max(0.45, 4 * quickest);
        stormUntil = storm ? now + 3000 : stormUntil; // a fifth of the hosts dead makes less of one
        lateUntil = late > Math.max(0.3, 2.5 * quickest) ? now + 3000 : lateUntil;
        if (now >= forgetAt) {
            forgetAt = Double.POSITIVE_INFINITY;
            hosts.forEach(h -> fade(h, 0)); // what ended till now was let in before the cut
            return true;
        }
        if (ended < 20 || rate <= 0 || now < levelAt) {
            return false;
        }
        double before = letIn;
        endedWell = Math.max(endedWell * 0.998, good);
        if (late > 0.5) {
            letIn = Math.max(0.1, letIn * Math.max(0.4, Math.min(0.55 / late, 0.95 * good / ended)));
        } else if (late < 0.4 && letIn < 1) {
            letIn = Math.min(1, letIn * (1 + (0.45 - late) * (ended < 0.8 * endedWell ? 1 : 0.4)));
        }
        forgetAt = letIn < before ? now + 3000 : forgetAt;
        levelAt = now + (letIn < before ? 4500 : 1500); // what is in the queues ends, the sums come and fade
        spreadLevels((1 - letIn) * work);
        return letIn != before;
    }

    private double work(int k) {
        return asked(k) * operations[k].objective();
    }

    /** What must be turned away is taken where a unit of work (by its objective) earns least. */
    private void spreadLevels(double cut) {
        int[] cheapest = IntStream.range(0, operations.length).boxed()
                .sorted(Comparator.comparingDouble(k -> operations[k].value() / operations[k].objective()))
                .mapToInt(k -> k).toArray();
        Arrays.fill(opLevel, 1);
        for (double floor : new double[] {0.4, 0.05}) { // first each to 0.4, so that none is given up early
            for (int k : cheapest) {
                double take = Math.min(cut, Math.max(0, opLevel[k] - floor) * work(k));
                opLevel[k] -= work(k) > 0 ? take / work(k) : 0;
                cut -= take;
            }
        }
    }

    // ---- 6 start-over: lists that must be asked for; slices and their owners

    private boolean askForList() {
        if (now - askedAt < askEvery) {
            return false;
        }
        askedAt = now;
        if (following) {
            orders.askList();
        } else {
            orders.followList();
        }
        following = true;
        return true;
    }

    /** A slice has one line; a lost owner goes, and the next comes once no write can be in its hands. */
    private boolean placeSlices() {
        boolean fired = false;
        for (Table t : sliced ? tables : List.<Table>of()) {
            if (t.mine && t.owner != null && !t.owner.running) {
                t.owner = null;
                t.ownerless = now;
                fired = true;
            } else if (t.mine && t.owner == null && now - t.ownerless > ownerAfter) {
                t.owner = hosts.stream().filter(h -> h.running && !h.out)
                        .max(Comparator.comparingLong(h -> rank(h, t))).orElse(null);
                fired |= t.owner != null;
            }
        }
        return fired;
    }

    private static long rank(Host h, Table t) {
        CRC32 crc = new CRC32();
        crc.update(new byte[] {(byte) h.id, (byte) (h.id >> 8), (byte) t.number, (byte) (t.number >> 8)});
        return crc.getValue();
    }
}
