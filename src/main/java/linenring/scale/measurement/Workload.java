package linenring.scale.measurement;

import java.util.EnumMap;
import java.util.Map;

/**
 * The load on one controller while it is measured. The names of the components are the keys of stored records and stay.
 *
 * @param catalogueHosts hosts that the catalogue lists
 * @param hostsInScope hosts that the controller's tables may hold; equal to {@code catalogueHosts} where there is no scope
 * @param proxies proxies of the controller
 * @param services services that the catalogue's hosts divide into
 * @param zones zones that hosts and proxies are spread over
 * @param stewards controllers, real and simulated together, that watch the same catalogue
 * @param changesPerSecond entries of the catalogue that change
 * @param reportsPerSecond reports of collectors and proxies to one controller
 * @param restartsPerSecond hosts that are replaced by a new one
 */
public record Workload(
        int catalogueHosts,
        int hostsInScope,
        int proxies,
        int services,
        int zones,
        int stewards,
        double changesPerSecond,
        double reportsPerSecond,
        double restartsPerSecond) {

    /** The workload with these sizes; counts are rounded. Every variable has a size. */
    public static Workload of(Map<Variable, Double> sizes) {
        return new Workload(
                count(sizes, Variable.CATALOGUE_HOSTS),
                count(sizes, Variable.HOSTS_IN_SCOPE),
                count(sizes, Variable.PROXIES),
                count(sizes, Variable.SERVICES),
                count(sizes, Variable.ZONES),
                count(sizes, Variable.STEWARDS),
                sizes.get(Variable.CHANGES_PER_SECOND),
                sizes.get(Variable.REPORTS_PER_SECOND),
                sizes.get(Variable.RESTARTS_PER_SECOND));
    }

    private static int count(Map<Variable, Double> sizes, Variable variable) {
        return (int) Math.round(sizes.get(variable));
    }

    /** The size of one variable. */
    public double size(Variable variable) {
        return switch (variable) {
            case CATALOGUE_HOSTS -> catalogueHosts;
            case HOSTS_IN_SCOPE -> hostsInScope;
            case PROXIES -> proxies;
            case SERVICES -> services;
            case ZONES -> zones;
            case STEWARDS -> stewards;
            case CHANGES_PER_SECOND -> changesPerSecond;
            case REPORTS_PER_SECOND -> reportsPerSecond;
            case RESTARTS_PER_SECOND -> restartsPerSecond;
        };
    }

    /** The sizes of all variables, by variable. */
    public Map<Variable, Double> sizes() {
        Map<Variable, Double> sizes = new EnumMap<>(Variable.class);
        for (Variable variable : Variable.values()) {
            sizes.put(variable, size(variable));
        }
        return sizes;
    }

    /** Whether the controller's tables may hold every host of the catalogue. */
    public boolean scopeIsWhole() {
        return hostsInScope == catalogueHosts;
    }

    /**
     * The same workload with another size of one variable. Without a scope, the hosts in scope follow the catalogue; with
     * one, neither comes to exceed the other's bound: the scope shrinks with the catalogue, and the catalogue grows with it.
     */
    public Workload with(Variable variable, double size) {
        Map<Variable, Double> sizes = sizes();
        sizes.put(variable, size);
        if (variable == Variable.CATALOGUE_HOSTS) {
            sizes.put(Variable.HOSTS_IN_SCOPE, scopeIsWhole() ? size : Math.min(size, hostsInScope));
        }
        if (variable == Variable.HOSTS_IN_SCOPE) {
            sizes.put(Variable.CATALOGUE_HOSTS, Math.max(size, catalogueHosts));
        }
        return of(sizes);
    }
}
