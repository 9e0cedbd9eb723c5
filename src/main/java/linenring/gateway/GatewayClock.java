package linenring.gateway;

import java.util.function.DoubleSupplier;

/** Milliseconds since the gateway was made, never stepping back. */
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
