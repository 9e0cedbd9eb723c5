package linenring.discovery;

import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import linenring.protocol.HostCapacity;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;

/**
 * What a watch begins with. {@code known} is the list that is held, read under the same scope or another, or null; lists of
 * over {@code maxHosts} hosts in scope are rejected; {@code nanoClock} has no fixed start.
 */
public record WatchConfig(
        InetSocketAddress address,
        ServiceScope scope,
        HostList known,
        CapacityListener capacityListener,
        int maxHosts,
        LongSupplier nanoClock) {
    /** With as many hosts as fit this process's heap, on the system's clock. */
    public WatchConfig(
            InetSocketAddress address, ServiceScope scope, HostList known, CapacityListener capacityListener) {
        this(address, scope, known, capacityListener, HostCapacity.ofThisProcess(), System::nanoTime);
    }
}
