package linenring.discovery;

/** Notified when the first host list exceeds the host capacity, so that there is no list to serve with. */
public interface CapacityListener {
    /** Reports that the host list is too large. The reason names the limit and is meant for the log. */
    void capacityExceeded(String reason);
}
