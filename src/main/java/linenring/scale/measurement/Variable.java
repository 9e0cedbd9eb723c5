package linenring.scale.measurement;

/** What a sweep varies while all else is constant. The names are those of settings and records and stay. */
public enum Variable {
    CATALOGUE_HOSTS("hosts in the catalogue"),
    HOSTS_IN_SCOPE("hosts in tables"),
    PROXIES("proxies of a controller"),
    SERVICES("services in the catalogue"),
    ZONES("zones"),
    /** Controllers, real and simulated together. */
    STEWARDS("controllers that watch the catalogue"),
    CHANGES_PER_SECOND("changes of the catalogue a second"),
    REPORTS_PER_SECOND("reports to a controller a second"),
    RESTARTS_PER_SECOND("restarts of hosts a second");

    private final String description;

    Variable(String description) {
        this.description = description;
    }

    /** Whether it is a rate a second; any other is a count. */
    public boolean isRate() {
        return switch (this) {
            case CHANGES_PER_SECOND, REPORTS_PER_SECOND, RESTARTS_PER_SECOND -> true;
            default -> false;
        };
    }

    /** The text for tables and plots. */
    public String description() {
        return description;
    }
}
