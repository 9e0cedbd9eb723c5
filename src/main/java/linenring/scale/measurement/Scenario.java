package linenring.scale.measurement;

/** What happens to the catalogue's hosts in a part of a run, beside the sweeps. */
public enum Scenario {
    IDLE("nothing changes"),
    CHURN("hosts come and go at random"),
    ROLLING_RESTART("all hosts of a service are replaced in steps"),
    RACK_LOST("the hosts of a rack go at once"),
    ZONE_LOST_AND_BACK("the hosts of a zone go at once and come back in one list"),
    SILENCE_CAUGHT_UP("the catalogue falls silent, and an hour of changes is caught up"),
    SPOILT_LIST("some entries of a list cannot be read"),
    PARTIAL_LIST("a list is cut off within an entry"),
    PROXIES_RESTARTED("all proxies of a steward join anew"),
    STEWARDS_RESTARTED("the steward is killed and starts anew");

    private final String description;

    Scenario(String description) {
        this.description = description;
    }

    /** The words for tables. */
    public String description() {
        return description;
    }
}
