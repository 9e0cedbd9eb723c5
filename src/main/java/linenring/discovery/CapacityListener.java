package linenring.discovery;

/** Is told that the list of hosts has no room in memory and none is held to go on with. */
public interface CapacityListener {
    void exceeded(String why);
}
