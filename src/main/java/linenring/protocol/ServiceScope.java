package linenring.protocol;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;

/** The services whose hosts a controller serves: all of the catalogue, or those that the configuration names. Immutable. */
public final class ServiceScope {
    /** Every host, whatever its service. */
    public static final ServiceScope ALL = new ServiceScope(null);

    private final Set<String> services; // null: all

    private ServiceScope(Set<String> services) {
        this.services = services;
    }

    /** Only hosts of these services, and hosts that name no service. */
    public static ServiceScope of(Collection<String> services) {
        return new ServiceScope(Set.copyOf(services));
    }

    /** Whether every host is served, whatever its service. */
    public boolean isAll() {
        return services == null;
    }

    /** Whether a host of this service is served; one that names none ({@code null}) belongs to all. */
    public boolean includes(String service) {
        return services == null || service == null || services.contains(service);
    }

    /** The names; empty where all are served. */
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
