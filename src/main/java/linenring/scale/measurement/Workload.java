package linenring.scale.measurement;

import java.util.EnumMap;
import java.util.Map;

/**
 * The load on one controller during a measurement. The component names are keys of stored records and must not change.
 *
 * @param catalogueHosts the number of hosts that the catalogue lists
 * @param hostsInScope the number of hosts that the controller's tables may hold; equal to {@code catalogueHosts} without a
 *     scope
 * @param proxies the number of proxies of the controller
 * @param services the number of services that the catalogue's hosts belong to
 * @param zones the number of zones that hosts and proxies are distributed over
 * @param stewards the number of controllers, real and simulated together, that watch the same catalogue
 * @param changesPerSecond the rate at which catalogue entries change
 * @param reportsPerSecond the rate of load reports from collectors and proxies to one controller
 * @param restartsPerSecond the rate at which hosts are replaced by new hosts
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

    /** Returns the workload with these sizes, which must contain every variable; counts are rounded. */
    public static Workload ofSizes(Map<Variable, Double> sizes) {
        return new Workload(
                roundedCount(sizes, Variable.CATALOGUE_HOSTS),
                roundedCount(sizes, Variable.HOSTS_IN_SCOPE),
                roundedCount(sizes, Variable.PROXIES),
                roundedCount(sizes, Variable.SERVICES),
                roundedCount(sizes, Variable.ZONES),
                roundedCount(sizes, Variable.STEWARDS),
                sizes.get(Variable.CHANGES_PER_SECOND),
                sizes.get(Variable.REPORTS_PER_SECOND),
                sizes.get(Variable.RESTARTS_PER_SECOND));
    }

    private static int roundedCount(Map<Variable, Double> sizes, Variable variable) {
        return (int) Math.round(sizes.get(variable));
    }

    /** Returns the size of one variable. */
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

    /** Returns the sizes of all variables, by variable. */
    public Map<Variable, Double> sizes() {
        Map<Variable, Double> sizes = new EnumMap<>(Variable.class);
        for (Variable variable : Variable.values()) {
            sizes.put(variable, size(variable));
        }
        return sizes;
    }

    /** Whether the controller's scope covers the catalogue, so that its tables may hold every host. */
    public boolean scopeCoversCatalogue() {
        return hostsInScope == catalogueHosts;
    }

    /**
     * Returns this workload with another size of one variable. The hosts in scope never exceed the catalogue's hosts. A new
     * catalogue size is also the number of hosts in scope if the workload has no scope; otherwise, it shrinks the scope if
     * necessary. A new number of hosts in scope enlarges the catalogue if necessary.
     */
    public Workload withSize(Variable variable, double size) {
        Map<Variable, Double> sizes = sizes();
        sizes.put(variable, size);
        if (variable == Variable.CATALOGUE_HOSTS) {
            sizes.put(Variable.HOSTS_IN_SCOPE, scopeCoversCatalogue() ? size : Math.min(size, hostsInScope));
        }
        if (variable == Variable.HOSTS_IN_SCOPE) {
            sizes.put(Variable.CATALOGUE_HOSTS, Math.max(size, catalogueHosts));
        }
        return ofSizes(sizes);
    }
}
