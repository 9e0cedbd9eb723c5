package linenring.routing;

import java.util.function.DoubleSupplier;

/**
 * The state that the retry decisions of all requests of one gateway share.
 *
 * @param tables            endpoint tables that hosts are picked from
 * @param hosts             all listed hosts
 * @param budget            retry budget of the gateway
 * @param recentExecutions  hosts that may have executed requests with an idempotency key
 * @param attemptTimeoutObjectives timeout of an attempt that can be retried, as a multiple of the latency objective
 * @param draw              source of random numbers in [0, 1)
 */
public record RetryContext(
        EndpointTables tables,
        HostRegistry hosts,
        RetryBudget budget,
        RecentExecutions recentExecutions,
        double attemptTimeoutObjectives,
        DoubleSupplier draw) {}
