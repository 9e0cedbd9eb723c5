package linenring.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;

/** Creates hosts s-0, s-1 and so on, alternating between zones 0 and 1, three operations and their endpoint tables. */
final class RoutingFixture {
    static final OperationPolicy QUOTE =
            new OperationPolicy("quote", Idempotence.IDEMPOTENT, OperationPolicy.DeduplicationScope.ALL, 0, 750, 2000);
    static final OperationPolicy BOOK = new OperationPolicy(
            "book", Idempotence.FINGERPRINTED, OperationPolicy.DeduplicationScope.ZONE, 2500, 1200, 4000);
    static final OperationPolicy ASSIGN = new OperationPolicy(
            "assign", Idempotence.SIDE_EFFECTING, OperationPolicy.DeduplicationScope.ALL, 0, 750, 2000);
    static final List<OperationPolicy> ALL_OPERATIONS = List.of(QUOTE, BOOK, ASSIGN);

    private static final double ATTEMPT_OBJECTIVES = 1.2;
    private static final int FAILURES_TO_EJECT = 3;
    private static final double EJECTION_MS = 5000;
    private static final int MAX_REMEMBERED_KEYS = 1000;

    private final HostRegistry hosts = new HostRegistry();
    private final EndpointTables tables;
    private final Random random = new Random(7);
    private final RecentExecutions recentExecutions = new RecentExecutions(MAX_REMEMBERED_KEYS);
    private int keys;
    private RetryBudget budget = new RetryBudget(1, 100, 10_000);

    RoutingFixture(int count) {
        this(count, AdmissionUnit.SHARE);
    }

    RoutingFixture(int count, AdmissionUnit measure) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (int h = 0; h < count; h++) {
            entries.add(new HostList.Entry(
                    "s-" + h, h % 2, 0, HostList.State.READY, 1, 0, "127.0.0.1:" + (1000 + h), h / 2));
        }
        hosts.apply(new HostList(1, true, entries));
        tables = new EndpointTables(
                ALL_OPERATIONS.stream().map(OperationPolicy::operation).toList(),
                hosts,
                measure,
                FAILURES_TO_EJECT,
                EJECTION_MS);
    }

    HostRegistry hosts() {
        return hosts;
    }

    EndpointTables tables() {
        return tables;
    }

    Random random() {
        return random;
    }

    void setBudget(RetryBudget newBudget) {
        budget = newBudget;
    }

    static ConfigurationUpdate.TableEntry entry(int host, double weight) {
        return new ConfigurationUpdate.TableEntry("s-" + host, weight);
    }

    static ConfigurationUpdate.AdmissionPolicy admission(double admissionRatio, RetryPolicy retryPolicy) {
        return new ConfigurationUpdate.AdmissionPolicy(admissionRatio, TableUpdate.RETRY_POLICIES.indexOf(retryPolicy));
    }

    static ConfigurationUpdate.Part part(
            List<String> operations,
            boolean replacesTable,
            ConfigurationUpdate.AdmissionPolicy admission,
            ConfigurationUpdate.TableEntry... entries) {
        return new ConfigurationUpdate.Part(
                operations,
                replacesTable,
                Arrays.asList(entries),
                admission,
                List.of(),
                List.of(),
                ConfigurationUpdate.WITHOUT_NONCE);
    }

    static ConfigurationUpdate update(ConfigurationUpdate.Part... parts) {
        return new ConfigurationUpdate(List.of(parts));
    }

    static ConfigurationUpdate ejections(List<String> ejected, List<String> restored, int nonce) {
        return update(new ConfigurationUpdate.Part(List.of(), false, List.of(), null, ejected, restored, nonce));
    }

    /** Applies an update that is expected to be valid. */
    List<Integer> apply(ConfigurationUpdate update) {
        try {
            return tables.apply(update);
        } catch (InvalidUpdateException unexpected) {
            throw new AssertionError(unexpected);
        }
    }

    /** Replaces all tables by one that contains the first {@code count} hosts with equal weights. */
    RoutingFixture withCompleteTables(int count, ConfigurationUpdate.AdmissionPolicy admission) {
        ConfigurationUpdate.TableEntry[] entries = IntStream.range(0, count)
                .mapToObj(host -> entry(host, 1))
                .toArray(ConfigurationUpdate.TableEntry[]::new);
        apply(update(part(List.of(), true, admission, entries)));
        return this;
    }

    /** Returns a request with an idempotency key of its own, or without one. */
    RetryDecision request(OperationPolicy policy, boolean hasIdempotencyKey, double nowMs) {
        keys++;
        return request(policy, hasIdempotencyKey ? "key-" + keys : null, nowMs);
    }

    /** Returns a request with this idempotency key, or without one if it is null. */
    RetryDecision request(OperationPolicy policy, String idempotencyKey, double nowMs) {
        return new RetryDecision(
                new RetryContext(tables, hosts, budget, recentExecutions, ATTEMPT_OBJECTIVES, random::nextDouble),
                ALL_OPERATIONS.indexOf(policy),
                policy,
                idempotencyKey,
                nowMs);
    }

    /** Returns the host that a step sends the request to, or -1 for any other step. */
    static int targetHost(NextStep step) {
        return step instanceof NextStep.Send send ? send.host() : -1;
    }
}
