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
 * Statistics of the whole fleet that the rules share: totals of attempts, the baseline and the high relative
 * latency, the baseline failure ratio, the demand, and the capacity of each table. {@link #refresh} recomputes
 * them; each rule calls it where it needs them, and it recomputes at most once for each input that changes them.
 * Relative latency is latency divided by the latency objective: at 1, an answer takes as long as its operation
 * allows.
 *
 * <p>The health of a host is compared with the best third of the hosts (the baseline) and not with the mean: in an
 * overload all hosts are bad and none may be ejected, while the best third stays good when other hosts are broken
 * or unreachable.
 */
final class FleetStatistics {
    /** Fewest attempts in the whole fleet from which its statistics are used. */
    static final double MIN_FLEET_ATTEMPTS = 20;

    /** Half-life of the totals of attempts, unless load reports cover a longer time, which is then the half-life. */
    private static final double HALF_LIFE_MS = 1500;

    private static final double DECAY_PER_HALF_LIFE = 0.5;
    /**
     * Smoothing factor of the time that load reports cover; it varies, and the average spans about the last 20
     * reports.
     */
    private static final double REPORT_SPAN_SMOOTHING = 0.05;
    /** Smoothing factor of request rates; the average spans about the last three load reports. */
    private static final double REQUEST_RATE_SMOOTHING = 0.3;
    /** Relative latency counted for a failed attempt: as an answer half an objective too late. */
    private static final double RELATIVE_LATENCY_OF_FAILURE = 1.5;
    /** Hosts with fewer attempts are left out of the quantiles. */
    private static final double MIN_HOST_ATTEMPTS = 3;
    /**
     * The host at the 33rd percentile gives the baseline: the best third is good even where other hosts are broken
     * or cut off.
     */
    private static final double BASELINE_QUANTILE = 0.33;
    /**
     * The host at the 62nd percentile gives the high relative latency: a third of the hosts broken or cut off does
     * not move it.
     */
    private static final double HIGH_QUANTILE = 0.62;
    /**
     * Request rate per proxy and host (requests a second) from which a proxy meets a failing host often enough to
     * eject the host by itself.
     */
    private static final double MIN_REQUESTS_PER_HOST_FOR_PROXY_EJECTION = 0.25;
    /** Mean latency objective assumed until the first request rates are reported. */
    private static final double INITIAL_OBJECTIVE_MS = 1000;

    private static final int MILLIS_PER_SECOND = 1000;

    private final Fleet fleet;
    private final TableRegistry registry;
    private final WarmUp warmUp;
    private final DecisionTime time;
    private final List<Operation> operations;
    /** Outcomes of the warm hosts that are not ejected, by kind. */
    private final List<Outcomes> outcomesByKind = new ArrayList<>();

    private boolean stale = true;
    private double refreshedAtMs;
    private double endedAttempts;
    private double failedAttempts;
    private double baselineRelativeLatency;
    private double highRelativeLatency;
    private double baselineFailureRatio;
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

    /** Adds a load report: attempts at one host by the proxies of one zone, and the time that the report covers. */
    void addReport(Host host, int proxyZone, int attempts, int failures, double meanSuccessMs, double spanMs) {
        reportSpanMs += REPORT_SPAN_SMOOTHING * (spanMs - reportSpanMs);
        Zone zoneOfProxies = fleet.zone(proxyZone);
        boolean isSameZone = proxyZone == host.zone();
        boolean isEvidenceOnHost = isSameZone || !zoneOfProxies.isPartitioned(time.nowMs());
        double successLatencyMs = (attempts - failures) * meanSuccessMs;
        (isSameZone ? zoneOfProxies.sameZoneOutcomes() : zoneOfProxies.otherZonesOutcomes())
                .add(attempts, failures, successLatencyMs);
        if (isEvidenceOnHost) {
            host.outcomes().add(attempts, failures, successLatencyMs);
        }
        stale = true;
    }

    void addRequestRate(ProxyState proxy, int operation, double spanMs, int total) {
        proxy.smoothRequestRate(operation, MILLIS_PER_SECOND * total / Math.max(1, spanMs), REQUEST_RATE_SMOOTHING);
    }

    /**
     * Decays the outcomes of all hosts and zones by the time that has passed; the half-life is about the delay of
     * load reports.
     */
    void decay(double elapsedMs) {
        double factor = Math.pow(DECAY_PER_HALF_LIFE, elapsedMs / Math.max(HALF_LIFE_MS, reportSpanMs));
        stale |= !fleet.hosts().isEmpty();
        fleet.hosts().forEach(host -> host.outcomes().decay(factor));
        fleet.zones().forEach(zone -> zone.decay(factor));
    }

    /**
     * Marks the statistics as outdated after a change of hosts or their states, so that the next refresh recomputes
     * all of them.
     */
    void markStale() {
        stale = true;
    }

    /** Clears the outcomes of a host that say nothing about its future attempts. */
    void forgetOutcomes(Host host) {
        stale = true;
        host.outcomes().clear();
    }

    /**
     * Recomputes the outdated statistics: all of them after an input, the totals and the capacities when only the
     * time has changed, and none otherwise.
     */
    void refresh() {
        if (!stale && refreshedAtMs == time.nowMs()) {
            return;
        }
        refreshTotals();
        registry.tables().forEach(this::refreshCapacity);
        if (stale) {
            double[] relativeLatencies = sortedMetric(host -> relativeLatency(host.outcomes()));
            baselineRelativeLatency = quantile(BASELINE_QUANTILE, relativeLatencies);
            highRelativeLatency = quantile(HIGH_QUANTILE, relativeLatencies);
            baselineFailureRatio = quantile(
                    BASELINE_QUANTILE,
                    sortedMetric(
                            host -> host.outcomes().failed() / host.outcomes().ended()));
        }
        stale = false;
        refreshedAtMs = time.nowMs();
    }

    private void refreshTotals() {
        endedAttempts = 0;
        failedAttempts = 0;
        outcomesByKind.forEach(Outcomes::clear);
        for (Host host : fleet.hosts()) {
            if (host.isRunning()) {
                endedAttempts += host.outcomes().ended();
                failedAttempts += host.outcomes().failed();
                if (!host.isEjected() && warmUp.isWarm(host)) {
                    outcomesOfKind(host.kind()).addAll(host.outcomes());
                }
            }
        }
    }

    private void refreshCapacity(EndpointTable table) {
        double listedWeight = 0;
        double admittedWeight = 0;
        double warmWeight = 0;
        double guaranteedWeight = 0;
        double demand = usualRequestsPerSecond(fleet.joinedProxies().stream()
                .filter(proxy -> table.servesZone(proxy.zone()))
                .toList());
        for (Host host : table.members()) {
            double weight = host.isRunning() && table.accepts(host) ? host.weight() : 0;
            listedWeight += weight;
            admittedWeight += host.isEjected() ? 0 : weight;
            warmWeight += host.isEjected() || !warmUp.isWarm(host) ? 0 : weight;
            guaranteedWeight += host.isEjected() ? 0 : weight * warmUp.guaranteedCapacity(host);
        }
        table.setCapacity(new TableCapacity(demand, listedWeight, admittedWeight, warmWeight, guaranteedWeight));
    }

    private double[] sortedMetric(ToDoubleFunction<Host> metric) {
        Stream<Host> hosts = fleet.hosts().stream()
                .filter(host ->
                        host.isRunning() && !host.isEjected() && host.outcomes().ended() >= MIN_HOST_ATTEMPTS);
        return hosts.mapToDouble(metric).sorted().toArray();
    }

    private static double quantile(double quantile, double[] sortedValues) {
        return sortedValues.length > 0 ? sortedValues[(int) (sortedValues.length * quantile)] : 0;
    }

    /**
     * Recomputes the request rate and the mean latency objective over all requests; returns the demanded work in
     * milliseconds of objective a second.
     */
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
        return fleet.joinedProxies().stream()
                .mapToDouble(proxy -> proxy.requestsPerSecond(operation))
                .sum();
    }

    /** Demand for one operation: its request rate times its latency objective, in milliseconds a second. */
    double workPerSecond(int operation) {
        return requestsPerSecond(operation) * operations.get(operation).objectiveMs();
    }

    /** Mean relative latency of the attempts, with failed attempts counted as late. */
    double relativeLatency(Outcomes outcomes) {
        return (outcomes.successLatencyMs() / objectiveMs + RELATIVE_LATENCY_OF_FAILURE * outcomes.failed())
                / Math.max(1, outcomes.ended());
    }

    /** Outcomes of the warm hosts of one kind that are not ejected. */
    Outcomes outcomesOfKind(int kind) {
        while (outcomesByKind.size() <= kind) {
            outcomesByKind.add(new Outcomes());
        }
        return outcomesByKind.get(kind);
    }

    List<Outcomes> outcomesByKind() {
        return Collections.unmodifiableList(outcomesByKind);
    }

    /** Attempts that have ended at running hosts (a decaying total). */
    double endedAttempts() {
        return endedAttempts;
    }

    /** Attempts that have failed at running hosts (a decaying total). */
    double failedAttempts() {
        return failedAttempts;
    }

    double succeededAttempts() {
        return endedAttempts - failedAttempts;
    }

    /** Relative latency of the 33rd percentile host, which bounds the best third of the hosts. */
    double baselineRelativeLatency() {
        return baselineRelativeLatency;
    }

    /** Relative latency of the 62nd percentile host. */
    double highRelativeLatency() {
        return highRelativeLatency;
    }

    /** Failure ratio at the 33rd percentile of the hosts, which bounds the best third. */
    double baselineFailureRatio() {
        return baselineFailureRatio;
    }

    /** Request rate of all operations at all proxies, as of the last {@link #refreshDemand}. */
    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Mean latency objective over all requests, in milliseconds. */
    double objectiveMs() {
        return objectiveMs;
    }

    /** Mean time that a load report covers, smoothed over the last reports. */
    double reportSpanMs() {
        return reportSpanMs;
    }

    /**
     * Request rate of all proxies from which each proxy meets every host often enough to eject a failing host by
     * itself.
     */
    double minRequestsPerSecondForProxyEjection() {
        return MIN_REQUESTS_PER_HOST_FOR_PROXY_EJECTION
                * fleet.joinedProxies().size()
                * fleet.hosts().size();
    }

    static double usualRequestsPerSecond(Collection<ProxyState> proxies) {
        return proxies.stream().mapToDouble(ProxyState::usualRequestsPerSecond).sum();
    }
}
