package linenring.discovery;

import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import linenring.protocol.HostCapacity;
import linenring.protocol.HostList;
import linenring.protocol.ServiceScope;

/**
 * Configuration of a watch.
 *
 * @param address address of the discovery agent
 * @param scope services whose hosts are read
 * @param initialList list to start with, read under the same scope or another; null if there is none
 * @param capacityListener notified if the first list is too large
 * @param maxHosts largest accepted number of hosts in scope
 * @param nanoClock clock in ns, with an arbitrary origin
 */
public record WatchConfig(
        InetSocketAddress address,
        ServiceScope scope,
        HostList initialList,
        CapacityListener capacityListener,
        int maxHosts,
        LongSupplier nanoClock) {
    /** Creates a configuration with the host capacity of this process's heap and the system clock. */
    public WatchConfig(
            InetSocketAddress address, ServiceScope scope, HostList initialList, CapacityListener capacityListener) {
        this(address, scope, initialList, capacityListener, HostCapacity.ofThisProcess(), System::nanoTime);
    }
}
