package linenring.protocol;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;

/** The services whose hosts a controller manages: all services, or those named in the configuration. Immutable. */
public final class ServiceScope {
    /** The scope that includes the hosts of all services. */
    public static final ServiceScope ALL = new ServiceScope(null);

    private final Set<String> services; // null means all services

    private ServiceScope(Set<String> services) {
        this.services = services;
    }

    /** Returns a scope of the hosts of these services and the hosts that name no service. */
    public static ServiceScope of(Collection<String> services) {
        return new ServiceScope(Set.copyOf(services));
    }

    /** Whether the scope includes the hosts of all services. */
    public boolean isAll() {
        return services == null;
    }

    /** Whether the scope includes hosts of this service; a host without a service ({@code null}) is in all scopes. */
    public boolean includes(String service) {
        return services == null || service == null || services.contains(service);
    }

    /** Returns the service names; empty if the scope includes all services. */
    public Set<String> services() {
        return services == null ? Set.of() : services;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceScope scope && Objects.equals(services, scope.services);
    }

    @Override
    public int hashCode() {
        return Objects.hashCode(services);
    }

    @Override
    public String toString() {
        return services == null ? "all services" : services.size() + " services";
    }
}
