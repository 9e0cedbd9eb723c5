package linenring.scale.measurement;

/**
 * A scripted sequence of events that a scale run measures. The constants are names in settings and stored records and must
 * not change.
 */
public enum Scenario {
    IDLE("nothing changes"),
    CHURN("random hosts drain and restart"),
    ROLLING_RESTART("all hosts of a service are replaced in steps"),
    RACK_LOST("all hosts of a rack are lost at once"),
    ZONE_LOST_AND_BACK("all hosts of a zone are lost at once and return in one list"),
    SILENCE_CAUGHT_UP("the catalogue stops sending, then delivers an hour of changes at once"),
    SPOILT_LIST("some entries of a host list are invalid"),
    PARTIAL_LIST("a host list is truncated within an entry"),
    PROXIES_RESTARTED("all proxies of a controller reconnect"),
    STEWARDS_RESTARTED("the controller is killed and restarted");

    private final String description;

    Scenario(String description) {
        this.description = description;
    }

    /** Returns the name of the scenario in reports. */
    public String description() {
        return description;
    }
}
