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
import java.util.zip.CRC32;
import linenring.plan.Orders.FurtherTries;
import linenring.plan.StartFigures.Effect;
import linenring.plan.StartFigures.Measure;
import linenring.plan.StartFigures.Operation;
import linenring.plan.StartFigures.Sharing;

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
    /** All that is known of a host. */
    private static final class Host {
        final int id;
        int zone, kind;
        double weight = 1, started = Double.NEGATIVE_INFINITY;
        boolean running, told, inList;  // listed ready; told it drains or is gone; in the list being read
        boolean out, sick;              // shut out at the proxies; to be shut out for its health
        double backAt, trialSince = -1; // when a sick one is tried again; start of its trial step
        int strikes;                    // failed trials in a row
        double share = 1;               // part of its weight that health allows
        double seenAt;                  // when the sums below were last faded
        double[] ended = {}, bad = {}, spent = {}; // late sums by zone of the proxies
        double[] laid = {};             // weight in each shared table, as last sent

        Host(int id) {
            this.id = id;
        }
    }

    /** A message to a proxy that it has not answered yet. */
    private record Message(int mark, double at, double lines) {
    }

    private static final class Proxy {
        final int id;
        int zone;
        boolean joined;
        int[] bound = {};              // number it is bound to, by shared table; -1 for none
        double fresh;                  // lines ordered for it in this reply
        final Deque<Message> unanswered = new ArrayDeque<>();
        final Deque<Double> written = new ArrayDeque<>(); // times of the messages that the cap counts
        final double[] asked;          // invocations a second, by operation

        Proxy(int id, int operations) {
            this.id = id;
            asked = new double[operations];
        }
    }

    /** A shared table, for the operations open to the same hosts; its number changes when laid anew. */
    private static final class Table {
        final int index, operations, homeZone; // homeZone: -1, or that of the proxies and hosts it is for
        int number, old = -1;
        boolean mine = true;           // slices: in this steward's charge
        double sentAt = Double.NEGATIVE_INFINITY, ownerless;
        final double[] letIn;
        final FurtherTries[] tries;

        Table(int index, int operations, int homeZone, int number, int levels) {
            this.index = index;
            this.operations = operations;
            this.homeZone = homeZone;
            this.number = number;
            letIn = new double[levels];
            tries = new FurtherTries[levels];
        }
    }

    private final Orders orders;
    private final Operation[] operations;
    private final Measure measure;
    private final double pace, perMessage, mostWaiting, messagesOver, grace, transitMost;
    private final double coldShare, warmAfter, tryFactor, askEvery;
    private final int messagesMost;
    private final StartFigures.Slices slices;
    private final boolean goneNeedNotStop;
    private final List<Host> hosts = new ArrayList<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Table> tables = new ArrayList<>();
    private final List<BooleanSupplier> rules;
    private double now, roundTrip, alarmAt = -1, askedAt = Double.NEGATIVE_INFINITY;
    private double lostLines, lostUntil; // written to streams since lost: they may still wait in the channel
    private boolean wholeList, following;
    private int mark, lastNumber;
    private double letIn = 1, leveledAt;
    private final double[] opLevel;

    public Balance(StartFigures start, Orders orders) {
        this.orders = orders;
        operations = start.operations().toArray(new Operation[0]);
        measure = start.letting().measure();
        tryFactor = start.letting().tryFactor();
        pace = start.channel().pace() / 1000;
        perMessage = start.channel().perMessage() + 1; // and one for the barrier request
        mostWaiting = start.channel().mostWaiting();
        messagesMost = start.channel().messagesMost();
        messagesOver = start.channel().messagesOver();
        grace = start.channel().grace();
        transitMost = start.channel().transitMost();
        roundTrip = 2 * start.channel().transit();
        coldShare = start.cold().startsAt();
        warmAfter = start.cold().warmAfter();
        slices = start.slices();
        goneNeedNotStop = start.goneNeedNotStop();
        askEvery = start.listMustBeAsked() ? start.askListWithin() / 3 : 1e18; // two calls may fail
        opLevel = new double[operations.length];
        Arrays.fill(opLevel, 1);
        for (int k = 0; k < operations.length && slices.count() == 0; k++) {
            addTablesFor(k);
        }
        rules = List.of(
                each(h -> h.told && !h.out, h -> withdraw(h, true)),
                each(this::fails, this::markSick),
                each(h -> h.sick && !h.out && spared(h), h -> withdraw(h, true)),
                each(h -> h.sick && h.running && now >= h.backAt, this::startTrial),
                each(this::passesTrial, this::growShare),
                each(h -> h.sick && h.out && isLast(h), this::letBack),
                this::cutRestarted,
                this::bindJoining,
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
            boolean fired = false;
            for (Host h : hosts) {
                if (when.test(h)) {
                    then.accept(h);
                    fired = true;
                }
            }
            return fired;
        };
    }

    // ---- what is seen

    public void clock(double at) {
        now = at;
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
            h.share = 1;
            h.trialSince = -1;
            forget(h);
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
        for (Host h : hosts) {
            if (wholeList && !h.inList) {
                gone(h.id);
            }
        }
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
            lostLines = now < lostUntil ? lostLines : 0;
            lostUntil = now + 4 * transitMost; // a channel at a quarter of its pace has let them go
        }
        p.unanswered.forEach(m -> lostLines += m.lines());
        p.unanswered.clear();
        p.written.clear();
        p.joined = false;
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
        if (h.ended.length <= zone) {
            h.ended = Arrays.copyOf(h.ended, zone + 1);
            h.bad = Arrays.copyOf(h.bad, zone + 1);
            h.spent = Arrays.copyOf(h.spent, zone + 1);
        }
        double keep = Math.pow(0.5, (now - h.seenAt) / 1500); // fade by half in 1.5 s: as late as sums come
        h.seenAt = now;
        for (int z = 0; z < h.ended.length; z++) {
            h.ended[z] = h.ended[z] * keep + (z == zone ? total : 0);
            h.bad[z] = h.bad[z] * keep + (z == zone ? bad : 0);
            h.spent[z] = h.spent[z] * keep + (z == zone ? (total - bad) * meanMs : 0);
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
        t.ownerless = now; // another steward's owner may still be writing
        hosts.forEach(h -> setLaid(h, t, 0));
    }

    public void held(int slice, int id, double weight) {
        setLaid(host(id), sliceTable(slice), weight);
    }

    // ---- records

    private Host host(int id) {
        while (hosts.size() <= id) {
            hosts.add(new Host(hosts.size()));
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
            proxies.add(new Proxy(proxies.size(), operations.length));
        }
        return proxies.get(id);
    }

    private List<Proxy> users(Table t) {
        return proxies.stream().filter(p -> p.joined && bound(p, t) == t.number).toList();
    }

    private int bound(Proxy p, Table t) {
        return slices.count() > 0 ? t.number : p.bound[t.index];
    }

    private static double sum(double[] byZone) {
        return Arrays.stream(byZone).sum();
    }

    private static void forget(Host h) {
        Arrays.fill(h.ended, 0);
        Arrays.fill(h.bad, 0);
        Arrays.fill(h.spent, 0);
    }

    /** Operations open to the same hosts share a table; one confined to the proxy's zone has one a zone. */
    private void addTablesFor(int k) {
        int alike = 0;
        for (int j = 0; j < operations.length; j++) {
            boolean same = operations[j].openTo(operations[k]);
            if (same && j < k) {
                return;
            }
            alike |= same ? 1 << j : 0;
        }
        int mask = Integer.bitCount(alike) == operations.length ? 0 : alike;
        for (int z = 0; z < (operations[k].homeZoneOnly() ? operations[k].zoneCount() : 1); z++) {
            tables.add(new Table(tables.size(), mask, operations[k].homeZoneOnly() ? z : -1, ++lastNumber,
                    operations.length));
        }
    }

    private Table sliceTable(int slice) {
        for (Table t : tables) {
            if (t.number == slice) {
                return t;
            }
        }
        tables.add(new Table(tables.size(), 0, -1, slice, operations.length));
        return tables.get(tables.size() - 1);
    }

    private boolean has(Table t, int operation) {
        return t.operations == 0 || (t.operations >> operation & 1) != 0;
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

    // ---- drains and withdrawals: past the windows, to all proxies

    private void withdraw(Host h, boolean out) {
        h.out = out;
        orders.withdraw(h.id, out);
        proxies.forEach(p -> p.fresh += p.joined ? 1 : 0);
    }

    // ---- 1 health from late sums and trial return

    private double overIn(ToDoubleFunction<Host> figure, Host but) {
        return hosts.stream().filter(h -> h != but && h.running && !h.out).mapToDouble(figure).sum();
    }

    /**
     * Guards against hosts that fail or swallow invocations while their process runs; it holds against any
     * cause that shows as bad tries at one host and not at the rest. It could harm where a slow host is still
     * needed: hence the share. 4 bad tries, or 2 on trial, prove enough; under 0.3, and half above the rest,
     * a host still serves more than its absence would save.
     */
    private boolean fails(Host h) {
        double bad = sum(h.bad);
        double ended = sum(h.ended);
        if (!h.running || h.sick || bad < (h.trialSince >= 0 ? 2 : 4) || onlyFromSomeZones(h)) {
            return false;
        }
        double rest = overIn(o -> sum(o.bad), h) / Math.max(1, overIn(o -> sum(o.ended), h));
        return bad >= ended * Math.max(0.3, 0.15 + 1.5 * rest);
    }

    /** Bad from one zone and good from another: the way there is cut, the host is not broken. */
    private boolean onlyFromSomeZones(Host h) {
        for (int z = 0; z < h.ended.length; z++) {
            if (h.ended[z] >= 3 && h.bad[z] < 0.2 * h.ended[z]) {
                return true;
            }
        }
        return false;
    }

    private void markSick(Host h) {
        h.sick = true;
        h.trialSince = -1;
        h.backAt = now + 3000 * Math.pow(1.5, Math.min(4, h.strikes++)); // 3 s, up to 15 s for what stays bad
    }

    private void startTrial(Host h) {
        h.sick = false;
        h.trialSince = now;
        h.share = 0.15; // a try a second or so: enough to judge by within some seconds, little to lose
        forget(h);
    }

    private boolean passesTrial(Host h) {
        double since = now - h.trialSince; // reports are up to 1.6 s late; after 6 s silence must do
        return h.trialSince >= 0 && since > 1500 && (sum(h.ended) >= 2 || since > 6000);
    }

    private void growShare(Host h) {
        h.share = Math.min(1, 2 * h.share);
        h.trialSince = h.share < 1 ? now : -1;
        h.strikes = h.share < 1 ? h.strikes : Math.max(0, h.strikes - 1);
    }

    // ---- 3 last-line guard

    /** A host may go for its health while two thirds of the weight that each table can use stay in. */
    private boolean spared(Host h) {
        for (Table t : tables) {
            double all = 0;
            double in = 0;
            for (Host o : hosts) {
                all += o.running && open(o, t) ? o.weight : 0;
                in += o.running && open(o, t) && !o.out && o != h ? o.weight : 0;
            }
            if (open(h, t) && in < 0.66 * all) {
                return false;
            }
        }
        return true;
    }

    /** Guards against a table left with none but sick hosts: they are let back in. */
    private boolean isLast(Host h) {
        return h.running && tables.stream().anyMatch(t -> open(h, t)
                && hosts.stream().noneMatch(o -> o.running && !o.out && open(o, t)));
    }

    private void letBack(Host h) {
        startTrial(h);
        h.share = 1;
        withdraw(h, false);
    }

    // ---- 2 cold-host guard

    /** The surest lower bound of what a host can do now, as a share of what it can do when warm. */
    private double able(Host h) {
        double age = Math.max(0, now - h.started);
        return age >= warmAfter ? 1 : coldShare + (1 - coldShare) * age / warmAfter;
    }

    /**
     * The ramp of the design (half weight, full at 10 s), held under what the host can do. When many are cold
     * at once, all shares rise as the weights of the cold fall; so theirs fall once more by as much.
     */
    private double wanted(Host h, Table t) {
        if (!h.running || !open(h, t)) {
            return 0;
        }
        double age = Math.max(0, now - h.started);
        if (age >= Math.max(10000, warmAfter)) {
            return h.weight * h.share;
        }
        double crowd = overIn(o -> o.weight * able(o), null) / Math.max(1e-9, overIn(o -> o.weight, null));
        return h.weight * h.share * Math.min(0.5 + age / 20000, able(h)) * (crowd > 0 ? crowd : able(h));
    }

    /** Guards against a restarted host that keeps its full weight: cut past the windows, as a withdrawal. */
    private boolean cutRestarted() {
        boolean fired = false;
        for (Table t : tables) {
            for (Host h : hosts) {
                double want = slices.count() > 0 ? 0 : wanted(h, t);
                if (want > 0 && !h.out && want < 0.6 * laid(h, t)) {
                    lay(h, t, want);
                    fired = true;
                }
            }
        }
        return fired;
    }

    // ---- the design: sub-updates over shared tables

    /** A line is due when it comes or goes, or its weight is off by an eighth: a ramp is a dozen steps. */
    private boolean due(Host h, Table t) {
        double want = wanted(h, t);
        double has = laid(h, t);
        return (want == 0) != (has == 0) || Math.abs(want - has) > 0.12 * Math.max(want, has)
                || want == h.weight && has != want || backIn(h);
    }

    private boolean backIn(Host h) {
        return h.out && h.running && !h.sick;
    }

    private int length(Table t) {
        return (int) hosts.stream().filter(h -> laid(h, t) > 0).count();
    }

    private int pending(Table t) {
        int lines = (int) hosts.stream().filter(h -> due(h, t)).count();
        for (int k = 0; k < operations.length; k++) {
            lines += levelDue(t, k) ? 1 : 0;
        }
        return lines;
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
        for (int k = 0; k < operations.length; k++) {
            if (levelDue(t, k)) {
                layLevel(t, k);
            }
        }
        t.sentAt = now;
        for (Host h : hosts) {
            if (backIn(h) && tables.stream().allMatch(o -> laid(h, o) == wanted(h, o))) {
                withdraw(h, false);
            }
        }
    }

    private void bind(Proxy p, Table t) {
        orders.bind(t.number, t.operations, p.id);
        p.bound[t.index] = t.number;
        p.fresh += 1 + length(t) + Integer.bitCount(t.operations);
    }

    /** A joining proxy is bound at once: its window is empty, and what it holds may name hosts that drain. */
    private boolean bindJoining() {
        boolean fired = false;
        for (Table t : slices.count() > 0 ? List.<Table>of() : tables) {
            for (Proxy p : proxies) {
                if (p.joined && p.bound[t.index] == -1 && length(t) > 0
                        && (t.homeZone < 0 || t.homeZone == p.zone) && mayWrite(p, length(t) + 2, true)) {
                    bind(p, t);
                    fired = true;
                }
            }
        }
        return fired;
    }

    /** The smallest pending sub-update goes first; each is sent whole, once all its proxies have room. */
    private boolean sendSubUpdate() {
        if (slices.count() > 0) {
            return false;
        }
        List<Table> smallest = new ArrayList<>(tables);
        smallest.sort(Comparator.comparingInt(t -> pending(t) * users(t).size()));
        for (Table t : smallest) {
            int lines = pending(t);
            if (lines == 0 || now - t.sentAt < gap() || !allHaveRoom(t, lines)) {
                continue;
            }
            if (lines > length(t) && length(t) > 0 && t.old == -1) {
                layAnew(t);
            } else {
                layDue(t);
            }
            return true;
        }
        return false;
    }

    /** Lay, bind, clear: used where that costs the proxies fewer lines than changing the old table. */
    private void layAnew(Table t) {
        List<Proxy> users = users(t);
        t.old = t.number;
        t.number = ++lastNumber % 65535;
        hosts.forEach(h -> setLaid(h, t, 0));
        Arrays.fill(t.tries, null);
        layDue(t);
        users.forEach(p -> bind(p, t));
    }

    private boolean clearOld() {
        boolean fired = false;
        for (Table t : tables) {
            if (t.old != -1 && users(t).stream().allMatch(p -> p.unanswered.isEmpty() || lags(p))) {
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

    private double waiting() {
        double lost = now < lostUntil ? lostLines : 0;
        return lost + proxies.stream().mapToDouble(p -> p.fresh + linesOut(p)).sum();
    }

    private double linesOut(Proxy p) {
        return p.unanswered.stream().mapToDouble(Message::lines).sum();
    }

    /** The last tenth of the queue and the last third of the cap are kept for withdrawals. */
    private boolean mayWrite(Proxy p, double lines, boolean urgent) {
        while (!p.written.isEmpty() && p.written.peek() <= now - messagesOver - 1) {
            p.written.poll();
        }
        return waiting() + lines + perMessage <= (urgent ? 0.9 : 0.6) * mostWaiting
                && (messagesMost == 0 || p.written.size() < (urgent ? 0.9 : 0.67) * messagesMost);
    }

    /** Guards against a batch held for all by one proxy that is slow, frozen or cut off: it is left out. */
    private boolean lags(Proxy p) {
        return !p.unanswered.isEmpty()
                && now - p.unanswered.peek().at() > Math.max(3 * roundTrip, 2 * transitMost);
    }

    private boolean allHaveRoom(Table t, double lines) {
        List<Proxy> users = users(t);
        double window = roundTrip * pace / Math.max(1, users.size()); // one round trip's worth of lines
        return users.stream().allMatch(p -> mayWrite(p, lines * users.size(), false)
                && (lags(p) || p.unanswered.size() < 5 || linesOut(p) + lines <= window));
    }

    /** One barrier request for all messages of this reply; each proxy concerned answers it. */
    private boolean requestBarrier() {
        if (proxies.stream().noneMatch(p -> p.joined && p.fresh > 0)) {
            return false;
        }
        mark = (mark + 1) % 65536;
        orders.barrier(mark, false);
        for (Proxy p : proxies) {
            if (p.joined && p.fresh > 0) {
                p.unanswered.add(new Message(mark, now, p.fresh + perMessage));
                p.written.add(now);
            }
            p.fresh = 0;
        }
        return true;
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

    /** Tries again after any failure only what may run twice or every host would know again in time. */
    private FurtherTries tries(int k) {
        Operation op = operations[k];
        boolean again = op.effect() == Effect.IDEMPOTENT || op.effect() == Effect.FINGERPRINTED
                && op.sharing() == Sharing.ALL && op.window() > 1.25 * tryFactor * op.objective() + 250;
        return again && letIn > 0.95 ? FurtherTries.ONE : FurtherTries.ONE_ON_PROOF;
    }

    private boolean levelDue(Table t, int k) {
        return has(t, k) && (t.tries[k] != tries(k) || Math.abs(t.letIn[k] - opLevel[k]) > 0.02);
    }

    private void layLevel(Table t, int k) {
        t.letIn[k] = opLevel[k];
        t.tries[k] = tries(k);
        double perProxy = asked(k) / Math.max(1, users(t).size());
        orders.level(t.number, 1 << k, measure != Measure.PER_SECOND ? opLevel[k]
                : opLevel[k] < 1 ? opLevel[k] * perProxy : 1e6, t.tries[k]);
        users(t).forEach(p -> p.fresh += 1);
    }

    private double asked(int k) {
        return proxies.stream().filter(p -> p.joined).mapToDouble(p -> p.asked[k]).sum();
    }

    /** Guards against a fleet that answers too late or not at all, whatever made it too small. */
    private boolean setLevels() {
        double ended = overIn(h -> sum(h.ended), null);
        double bad = overIn(h -> sum(h.bad), null);
        double rate = 0;
        double work = 0;
        for (int k = 0; k < operations.length; k++) {
            rate += asked(k);
            work += asked(k) * operations[k].objective();
        }
        if (now - leveledAt < 1500 || ended < 20 || rate <= 0) { // by 1.5 s an order shows up in the sums
            return false;
        }
        double slow = overIn(h -> sum(h.spent), null) / Math.max(1, ended - bad) / (work / rate);
        double before = letIn;
        if (slow > 0.6 || bad > 0.15 * ended) {
            letIn = Math.max(0.3, 0.88 * letIn);
        } else if (slow < 0.45 && bad < 0.06 * ended) {
            letIn = Math.min(1, letIn + 0.04);
        }
        leveledAt = now;
        spreadLevels((1 - letIn) * work);
        return letIn != before;
    }

    /** What must be turned away is taken where a unit of work (by its objective) earns least. */
    private void spreadLevels(double cut) {
        List<Integer> cheapest = new ArrayList<>();
        for (int k = 0; k < operations.length; k++) {
            cheapest.add(k);
        }
        cheapest.sort(Comparator.comparingDouble(k -> operations[k].value() / operations[k].objective()));
        Arrays.fill(opLevel, 1);
        for (double floor : new double[] {0.4, 0.05}) { // first each to 0.4, so that none is given up early
            for (int k : cheapest) {
                double work = asked(k) * operations[k].objective();
                double take = Math.min(cut, Math.max(0, opLevel[k] - floor) * work);
                opLevel[k] -= work > 0 ? take / work : 0;
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
        for (Table t : slices.count() > 0 ? tables : List.<Table>of()) {
            Host owner = hosts.stream().filter(h -> laid(h, t) > 0).findFirst().orElse(null);
            Host next = hosts.stream().filter(h -> h.running).max(Comparator.comparingLong(h -> rank(h, t)))
                    .orElse(null);
            if (!t.mine || next == null || owner != null && owner.running || waiting() > 0.5 * mostWaiting) {
                continue;
            }
            if (owner != null) {
                lay(owner, t, 0);
                t.ownerless = now;
                fired = true;
            } else if (!slices.singleOwner()
                    || now - t.ownerless > slices.lease() + slices.lingers() + grace) {
                lay(next, t, next.weight);
                fired = true;
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
