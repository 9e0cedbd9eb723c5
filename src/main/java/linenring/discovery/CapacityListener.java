package linenring.discovery;

/** Notified where the list of hosts does not fit the memory and there is no earlier one to go on with. */
public interface CapacityListener {
    /** The reason names the limit; it is for the log. */
    void exceeded(String reason);
}
