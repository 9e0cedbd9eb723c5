package linenring.gateway;

import java.util.function.DoubleSupplier;

/** A monotonic clock that counts milliseconds since the gateway was created. */
final class GatewayClock implements DoubleSupplier {
    private static final double NANOS_PER_MILLI = 1e6;

    private final long startNanos = System.nanoTime();

    double nowMs() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    @Override
    public double getAsDouble() {
        return nowMs();
    }
}
