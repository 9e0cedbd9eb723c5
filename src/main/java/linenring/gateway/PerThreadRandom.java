package linenring.gateway;

import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;

/** Random numbers in [0, 1) from a generator of each thread's own, so that picks never wait for one another. */
final class PerThreadRandom implements DoubleSupplier {
    private final SplittableRandom seeds; // guarded by itself
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
