package linenring.scale.measurement;

/**
 * What one steward is given to bear while it is measured. Rates are per second.
 *
 * @param catalogueHosts hosts that the catalogue lists
 * @param hostsInScope hosts that the steward's tables may hold; equal to {@code catalogueHosts} where there is no scope
 * @param proxies proxies on the steward
 * @param services services that the catalogue's hosts divide into
 * @param zones zones that hosts and proxies are spread over
 * @param stewards stewards, real and hollow together, that watch the same catalogue
 * @param changesPerSecond entries of the catalogue that change
 * @param reportsPerSecond reports of collectors and proxies to one steward
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

    /** The same workload with another size of one variable. */
    public Workload with(Variable variable, double size) {
        int whole = (int) Math.round(size);
        return switch (variable) {
            case CATALOGUE_HOSTS ->
                new Workload(
                        whole,
                        Math.min(whole, hostsInScope == catalogueHosts ? whole : hostsInScope),
                        proxies,
                        services,
                        zones,
                        stewards,
                        changesPerSecond,
                        reportsPerSecond,
                        restartsPerSecond);
            case HOSTS_IN_SCOPE ->
                new Workload(
                        Math.max(whole, catalogueHosts),
                        whole,
                        proxies,
                        services,
                        zones,
                        stewards,
                        changesPerSecond,
                        reportsPerSecond,
                        restartsPerSecond);
            case PROXIES ->
                new Workload(
                        catalogueHosts,
                        hostsInScope,
                        whole,
                        services,
                        zones,
                        stewards,
                        changesPerSecond,
                        reportsPerSecond,
                        restartsPerSecond);
            case SERVICES ->
                new Workload(
                        catalogueHosts,
                        hostsInScope,
                        proxies,
                        whole,
                        zones,
                        stewards,
                        changesPerSecond,
                        reportsPerSecond,
                        restartsPerSecond);
            case ZONES ->
                new Workload(
                        catalogueHosts,
                        hostsInScope,
                        proxies,
                        services,
                        whole,
                        stewards,
                        changesPerSecond,
                        reportsPerSecond,
                        restartsPerSecond);
            case STEWARDS ->
                new Workload(
                        catalogueHosts,
                        hostsInScope,
                        proxies,
                        services,
                        zones,
                        whole,
                        changesPerSecond,
                        reportsPerSecond,
                        restartsPerSecond);
            case CHANGES_PER_SECOND ->
                new Workload(
                        catalogueHosts,
                        hostsInScope,
                        proxies,
                        services,
                        zones,
                        stewards,
                        size,
                        reportsPerSecond,
                        restartsPerSecond);
            case REPORTS_PER_SECOND ->
                new Workload(
                        catalogueHosts,
                        hostsInScope,
                        proxies,
                        services,
                        zones,
                        stewards,
                        changesPerSecond,
                        size,
                        restartsPerSecond);
            case RESTARTS_PER_SECOND ->
                new Workload(
                        catalogueHosts,
                        hostsInScope,
                        proxies,
                        services,
                        zones,
                        stewards,
                        changesPerSecond,
                        reportsPerSecond,
                        size);
        };
    }
}
