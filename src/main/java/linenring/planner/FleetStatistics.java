package linenring.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import linenring.planner.PlannerSettings.Operation;

/**
 * What the rules need to know of the whole fleet: totals of attempts, the usual and the high lateness, the usual failure ratio,
 * the demand, and the capacity of each table. They are recomputed by {@link #refresh}, which each rule calls where it needs them:
 * at most once for each input that changes them. Lateness is in latency objectives: 1 is an answer that takes just as long as
 * its operation may.
 *
 * <p>Health is compared with the best third of the hosts and not with the mean: in an overload all are bad, and none must be
 * ejected; beside broken or unreachable hosts the best third stays good.
 */
final class FleetStatistics {
    /** Fewer attempts than this in the whole fleet say nothing about it. No reason is recorded for the value. */
    static final double MIN_FLEET_ATTEMPTS = 20;

    /** Time in which attempts decay by half, unless a report covers a longer time, which then counts. */
    private static final double HALF_LIFE_MS = 1500;

    private static final double LEFT_AFTER_HALF_LIFE = 0.5;
    /** Reports cover times that change from one to the next: smoothed over about the last 20. */
    private static final double REPORT_SPAN_SMOOTHING = 0.05;
    /** Request rates are smoothed over about the last three reports. */
    private static final double REQUEST_RATE_SMOOTHING = 0.3;
    /** A failed attempt counts as an answer that is late by half an objective. */
    private static final double LATENESS_OF_FAILURE = 1.5;
    /** Hosts with fewer attempts are left out of the quantiles. No reason is recorded for the value. */
    private static final double MIN_HOST_ATTEMPTS = 3;
    /** The best third of the hosts: good even where others are broken or cut off. */
    private static final double USUAL_QUANTILE = 0.33;
    /** The 62nd percentile host: a third of the hosts broken or cut off does not move it. */
    private static final double HIGH_QUANTILE = 0.62;
    /** Requests a second for each host from which on a proxy meets a failing one often enough to avoid it by itself. */
    private static final double REQUESTS_PER_HOST_TO_AVOID_IT = 0.25;
    /** The objective until the first demand is known. */
    private static final double INITIAL_OBJECTIVE_MS = 1000;

    private static final int MILLIS_PER_SECOND = 1000;

    private final Fleet fleet;
    private final TableRegistry registry;
    private final WarmUp warmUp;
    private final DecisionTime time;
    private final List<Operation> operations;
    /** Outcomes of the warm hosts that are not ejected, by their kind. */
    private final List<Outcomes> outcomesByKind = new ArrayList<>();

    private boolean stale = true;
    private double refreshedAtMs;
    private double ended;
    private double failed;
    private double usualLateness;
    private double highLateness;
    private double usualFailureRatio;
    private double requestsPerSecond;
    private double objectiveMs = INITIAL_OBJECTIVE_MS;
    private double reportSpanMs;

    FleetStatistics(Fleet fleet, TableRegistry registry, WarmUp warmUp, DecisionTime time, List<Operation> operations) {
        this.fleet = fleet;
        this.registry = registry;
        this.warmUp = warmUp;
        this.time = time;
        this.operations = operations;
    }

    // ---- inputs

    /** Adds a report: attempts at one host by proxies of one zone, and the time that the report covers. */
    void addReport(Host host, int proxyZone, int attempts, int failedAttempts, double meanSuccessMs, double spanMs) {
        reportSpanMs += REPORT_SPAN_SMOOTHING * (spanMs - reportSpanMs);
        Zone from = fleet.zone(proxyZone);
        boolean isSameZone = proxyZone == host.zone();
        boolean saysSomethingOfHost = isSameZone || !from.isPartitioned(time.nowMs());
        double spentMs = (attempts - failedAttempts) * meanSuccessMs;
        (isSameZone ? from.sameZone() : from.otherZones()).add(attempts, failedAttempts, spentMs);
        if (saysSomethingOfHost) {
            host.outcomes().add(attempts, failedAttempts, spentMs);
        }
        stale = true;
    }

    void addRequestRate(ProxyState proxy, int operation, double spanMs, int total) {
        proxy.smoothRequestRate(operation, MILLIS_PER_SECOND * total / Math.max(1, spanMs), REQUEST_RATE_SMOOTHING);
    }

    /** Lets all outcomes decay over the time that has passed; about as fast as reports are late. */
    void decay(double elapsedMs) {
        double factor = Math.pow(LEFT_AFTER_HALF_LIFE, elapsedMs / Math.max(HALF_LIFE_MS, reportSpanMs));
        stale |= !fleet.hosts().isEmpty();
        fleet.hosts().forEach(host -> host.outcomes().decay(factor));
        fleet.zones().forEach(zone -> zone.decay(factor));
    }

    /** Hosts or their states have changed: the next refresh recomputes all. */
    void markStale() {
        stale = true;
    }

    /** Forgets what was seen at the host, as it says nothing about what comes. */
    void forgetOutcomes(Host host) {
        stale = true;
        host.outcomes().clear();
    }

    // ---- recomputing

    /** Recomputes what has changed: nothing at all, the capacities with the time alone, and all after an input. */
    void refresh() {
        if (!stale && refreshedAtMs == time.nowMs()) {
            return;
        }
        refreshTotals();
        registry.tables().forEach(this::refreshCapacity);
        if (stale) {
            double[] lateness = sorted(host -> lateness(host.outcomes()));
            usualLateness = quantile(USUAL_QUANTILE, lateness);
            highLateness = quantile(HIGH_QUANTILE, lateness);
            usualFailureRatio = quantile(
                    USUAL_QUANTILE,
                    sorted(host -> host.outcomes().failed() / host.outcomes().ended()));
        }
        stale = false;
        refreshedAtMs = time.nowMs();
    }

    private void refreshTotals() {
        ended = 0;
        failed = 0;
        outcomesByKind.forEach(Outcomes::clear);
        for (Host host : fleet.hosts()) {
            if (host.isRunning()) {
                ended += host.outcomes().ended();
                failed += host.outcomes().failed();
                if (!host.isEjected() && warmUp.isWarm(host)) {
                    ofKind(host.kind()).addAll(host.outcomes());
                }
            }
        }
    }

    private void refreshCapacity(EndpointTable table) {
        double listed = 0;
        double admitted = 0;
        double warm = 0;
        double able = 0;
        double demand = usualRequestsPerSecond(fleet.joined().stream()
                .filter(proxy -> table.servesZone(proxy.zone()))
                .toList());
        for (Host host : table.members()) {
            double weight = host.isRunning() && table.accepts(host) ? host.weight() : 0;
            listed += weight;
            admitted += host.isEjected() ? 0 : weight;
            warm += host.isEjected() || !warmUp.isWarm(host) ? 0 : weight;
            able += host.isEjected() ? 0 : weight * warmUp.leastAbility(host);
        }
        table.setCapacity(new TableCapacity(demand, listed, admitted, warm, able));
    }

    private double[] sorted(ToDoubleFunction<Host> metric) {
        Stream<Host> judged = fleet.hosts().stream()
                .filter(host ->
                        host.isRunning() && !host.isEjected() && host.outcomes().ended() >= MIN_HOST_ATTEMPTS);
        return judged.mapToDouble(metric).sorted().toArray();
    }

    private static double quantile(double part, double[] sorted) {
        return sorted.length > 0 ? sorted[(int) (sorted.length * part)] : 0;
    }

    /** Recomputes the demand and the objective, which is the mean over what is asked; objectives' worth of work in ms a second. */
    double refreshDemand() {
        requestsPerSecond = IntStream.range(0, operations.size())
                .mapToDouble(this::requestsPerSecond)
                .sum();
        double workPerSecond = IntStream.range(0, operations.size())
                .mapToDouble(this::workPerSecond)
                .sum();
        stale |= requestsPerSecond > 0 && objectiveMs != workPerSecond / requestsPerSecond;
        objectiveMs = requestsPerSecond > 0 ? workPerSecond / requestsPerSecond : objectiveMs;
        return workPerSecond;
    }

    private double requestsPerSecond(int operation) {
        return fleet.joined().stream()
                .mapToDouble(proxy -> proxy.requestsPerSecond(operation))
                .sum();
    }

    /** What is asked of one operation, in milliseconds of its objective a second. */
    double workPerSecond(int operation) {
        return requestsPerSecond(operation) * operations.get(operation).objectiveMs();
    }

    // ---- results

    /** Mean lateness in objectives. */
    double lateness(Outcomes outcomes) {
        return (outcomes.spentMs() / objectiveMs + LATENESS_OF_FAILURE * outcomes.failed())
                / Math.max(1, outcomes.ended());
    }

    /** Outcomes at the warm hosts of one kind that are not ejected. */
    Outcomes ofKind(int kind) {
        while (outcomesByKind.size() <= kind) {
            outcomesByKind.add(new Outcomes());
        }
        return outcomesByKind.get(kind);
    }

    List<Outcomes> outcomesByKind() {
        return Collections.unmodifiableList(outcomesByKind);
    }

    /** Attempts that have ended at running hosts. */
    double ended() {
        return ended;
    }

    /** Attempts that have failed at running hosts. */
    double failed() {
        return failed;
    }

    double succeeded() {
        return ended - failed;
    }

    /** Lateness where the best third of the hosts ends. */
    double usualLateness() {
        return usualLateness;
    }

    /** Lateness of the 62nd percentile host. */
    double highLateness() {
        return highLateness;
    }

    /** Share of attempts that fail where the best third of the hosts ends. */
    double usualFailureRatio() {
        return usualFailureRatio;
    }

    /** Requests of all operations at all proxies, as of the last {@link #refreshDemand}. */
    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Mean latency objective over what is asked, in milliseconds. */
    double objectiveMs() {
        return objectiveMs;
    }

    /** The time that a report covers, smoothed. */
    double reportSpanMs() {
        return reportSpanMs;
    }

    /** The demand on all proxies from which on each meets every host often enough to avoid a failing one by itself. */
    double requestsPerSecondToMeetEveryHost() {
        return REQUESTS_PER_HOST_TO_AVOID_IT
                * fleet.joined().size()
                * fleet.hosts().size();
    }

    static double usualRequestsPerSecond(Collection<ProxyState> proxies) {
        return proxies.stream().mapToDouble(ProxyState::usualRequestsPerSecond).sum();
    }
}
