package linenring.steward;

import java.util.concurrent.locks.LockSupport;
import linenring.exchange.Exchange;
import linenring.exchange.Stream;
import linenring.figures.Names;
import linenring.log.Log;
import linenring.message.Arrival;
import linenring.message.HostList;
import linenring.plan.Balance;
import linenring.plan.StartFigures;

/** The one thread that owns the decisions: takes all that has come, calls them, settles once, sends. */
public final class Steward implements Exchange.Taker {
    private final Exchange exchange;
    private final Log log;
    private final double quantum;
    private final Clock clock;
    private final Books books;
    private final Balance balance;

    public Steward(StartFigures figures, Names names, HostList known, Exchange exchange, Log log) {
        this(figures, names, known, exchange, log, new Clock());
    }

    Steward(StartFigures figures, Names names, HostList known, Exchange exchange, Log log, Clock clock) {
        this.exchange = exchange;
        this.log = log;
        this.clock = clock;
        quantum = names.quantum();
        books = new Books(names.operations(), names.proxies(), log);
        balance = new Balance(figures, books);
        balance.clock(clock.now());
        if (known != null) {
            listed(known);
        }
        settle();
    }

    /** Decides for good; ends only if it is interrupted. */
    public void run() {
        try {
            while (true) {
                double last = clock.now();
                exchange.await((long) (Math.min(1000, books.nextAlarm() - last) * 1e6));
                long early = (long) ((last + quantum - clock.now()) * 1e6); // no closer than the settings say
                if (early > 0) {
                    LockSupport.parkNanos(early);
                }
                round(clock.now());
            }
        } catch (InterruptedException e) {
            log.info("steward", "stops");
        }
    }

    /** Takes in all that has come and acts on it, as of now. */
    void round(double now) {
        books.alarmsUpTo(now);
        decide(() -> balance.clock(now));
        long dropped = exchange.drain(this);
        if (dropped > 0) {
            log.warn("steward", dropped + " sums were dropped, as they came faster than they could be taken");
        }
        settle();
    }

    private void settle() {
        decide(balance::settle);
        decide(books::send);
    }

    /** A fault in one decision is told and must not end the others. */
    private void decide(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.error("fault", e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void arrived(Stream from, Arrival what) {
        if (what instanceof Arrival.Joining j) {
            log.info("proxy", j.proxy() + " joins" + (j.fresh() ? "" : " with a table"));
            books.joined(j.proxy(), from, j.fresh());
            decide(() -> balance.joined(j.proxy(), j.zone(), j.usual()));
        } else if (what instanceof Arrival.Applied a) {
            if (books.isCurrent(a.proxy(), from)) { // an old stream's answer tells nothing of the new one
                decide(() -> balance.inForce(a.proxy(), a.mark(), a.tookMs()));
            }
        } else if (what instanceof Arrival.HostSums s) {
            int host = books.host(s.host());
            if (host >= 0) {
                decide(() -> balance.tally(host, s.zone(), s.total(), s.bad(), s.meanMs(), s.spanMs()));
            }
        } else if (what instanceof Arrival.Usage u) {
            decide(() -> balance.traffic(u.proxy(), u.operation(), u.spanMs(), u.total()));
        }
    }

    @Override
    public void ended(Stream which) {
        int proxy = books.proxyOf(which);
        if (proxy >= 0) { // else it has a newer stream, and this end is late
            log.info("proxy", proxy + " leaves");
            books.left(proxy);
            decide(() -> balance.lost(proxy));
        }
    }

    @Override
    public void listed(HostList list) {
        decide(() -> {
            balance.listOpens(list.whole() && list.spoilt().isEmpty()); // whom it could not name has not gone
            for (HostList.Entry e : list.entries()) {
                int host = books.listed(e.host());
                switch (e.state()) {
                    case READY -> balance.running(host, e.zone(), e.kind(), e.weight(), e.startedMs());
                    case TERMINATING -> balance.stopping(host, e.zone(), e.kind(), e.weight());
                    case GONE -> balance.gone(host);
                }
            }
            balance.listCloses();
        });
    }
}
