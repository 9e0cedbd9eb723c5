package linenring.scale.measurement;

/** A workload parameter that a sweep varies. The constants are names in settings and stored records and must not change. */
public enum Variable {
    CATALOGUE_HOSTS("hosts in the catalogue"),
    HOSTS_IN_SCOPE("hosts in tables"),
    PROXIES("proxies of a controller"),
    SERVICES("services in the catalogue"),
    ZONES("zones"),
    /** The number of controllers, real and simulated together. */
    STEWARDS("controllers that watch the catalogue"),
    CHANGES_PER_SECOND("changes of the catalogue a second"),
    REPORTS_PER_SECOND("reports to a controller a second"),
    RESTARTS_PER_SECOND("restarts of hosts a second");

    private final String description;

    Variable(String description) {
        this.description = description;
    }

    /** Whether the variable is a rate per second; every other variable is a count. */
    public boolean isRate() {
        return switch (this) {
            case CHANGES_PER_SECOND, REPORTS_PER_SECOND, RESTARTS_PER_SECOND -> true;
            default -> false;
        };
    }

    /** Returns the name of the variable in tables and plots. */
    public String description() {
        return description;
    }
}
