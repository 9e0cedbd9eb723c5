package linenring.scale.measurement;

/** A sequence of events that is played beside the sweeps. The names are those of settings and records and stay. */
public enum Scenario {
    IDLE("nothing changes"),
    CHURN("hosts come and go at random"),
    ROLLING_RESTART("all hosts of a service are replaced in steps"),
    RACK_LOST("the hosts of a rack go at once"),
    ZONE_LOST_AND_BACK("the hosts of a zone go at once and come back in one list"),
    SILENCE_CAUGHT_UP("the catalogue falls silent, and an hour of changes is caught up"),
    SPOILT_LIST("some entries of a list cannot be read"),
    PARTIAL_LIST("a list is cut off within an entry"),
    PROXIES_RESTARTED("all proxies of a controller join anew"),
    STEWARDS_RESTARTED("the controller is killed and starts anew");

    private final String description;

    Scenario(String description) {
        this.description = description;
    }

    /** The text for tables. */
    public String description() {
        return description;
    }
}
