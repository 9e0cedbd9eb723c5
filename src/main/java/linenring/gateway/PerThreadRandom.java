package linenring.gateway;

import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;

/** Supplies random numbers in [0, 1) from one generator per thread, so that picks of hosts never contend for a lock. */
final class PerThreadRandom implements DoubleSupplier {
    private final SplittableRandom seeds; // guarded by its own lock
    private final ThreadLocal<SplittableRandom> generators;

    PerThreadRandom(long seed) {
        seeds = new SplittableRandom(seed);
        generators = ThreadLocal.withInitial(this::nextGenerator);
    }

    private SplittableRandom nextGenerator() {
        synchronized (seeds) {
            return seeds.split();
        }
    }

    @Override
    public double getAsDouble() {
        return generators.get().nextDouble();
    }
}
