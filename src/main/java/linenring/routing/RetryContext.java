package linenring.routing;

import java.util.function.DoubleSupplier;

/**
 * What the decisions of all requests of one gateway share.
 *
 * @param tables            which hosts may be picked
 * @param hosts             all listed hosts
 * @param budget            of retries
 * @param attemptObjectives latency objectives that an attempt gets if another one may follow it
 * @param draw              random numbers in [0, 1)
 */
public record RetryContext(
        Tables tables, HostRegistry hosts, RetryBudget budget, double attemptObjectives, DoubleSupplier draw) {}
