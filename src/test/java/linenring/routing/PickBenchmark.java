package linenring.routing;

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

/** Picks a second, and of a whole table anew; run by hand, see docs/results.md. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PickBenchmark {
    @Param({"30", "300"})
    public int hosts;

    private Fixture fixture;
    private ConfigurationUpdate change;
    private final SplittableRandom chance = new SplittableRandom(1);

    @Setup
    public void tables() {
        fixture = new Fixture(hosts).whole(hosts, null);
        change = new ConfigurationUpdate(
                java.util.List.of(Fixture.part(java.util.List.of(), false, null, Fixture.line(0, 0.5))));
    }

    @Benchmark
    public int pick() {
        return fixture.tables.pick(0, 0, chance.nextDouble());
    }

    @Benchmark
    public int pickElsewhere() {
        return fixture.tables.pick(0, 0, chance.nextDouble(), h -> h != 3);
    }

    @Benchmark
    public int orderThenPick() {
        fixture.tables.apply(change);
        return fixture.tables.pick(0, 0, chance.nextDouble());
    }

    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(PickBenchmark.class.getSimpleName())
                        .build())
                .run();
    }
}
