package linenring.routing;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import linenring.protocol.ConfigurationUpdate;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Measures picks per second with and without table updates; run manually, see docs/results.md. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PickBenchmark {
    private static final int OTHER_HOST = 3;
    private static final double HALF_WEIGHT = 0.5;

    @Param({"30", "300"})
    private int hosts;

    private RoutingFixture fixture;
    private ConfigurationUpdate change;
    private final SplittableRandom random = new SplittableRandom(1);

    /** Creates the endpoint tables and the update that the benchmarks use. */
    @Setup
    public void createTables() {
        fixture = new RoutingFixture(hosts).withCompleteTables(hosts, null);
        change = RoutingFixture.update(
                RoutingFixture.part(List.of(), false, null, RoutingFixture.entry(0, HALF_WEIGHT)));
    }

    /** Picks a host for a first attempt. */
    @Benchmark
    public int pick() {
        return fixture.tables().pick(0, 0, random.nextDouble());
    }

    /** Picks a host for a retry, for which one host is excluded. */
    @Benchmark
    public int pickElsewhere() {
        return fixture.tables().pick(0, 0, random.nextDouble(), host -> host != OTHER_HOST);
    }

    /** Applies a table update and picks a host, which rebuilds the pickers. */
    @Benchmark
    public int updateThenPick() {
        fixture.apply(change);
        return fixture.tables().pick(0, 0, random.nextDouble());
    }

    /** Runs all benchmarks of this class. */
    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(PickBenchmark.class.getSimpleName())
                        .build())
                .run();
    }
}
