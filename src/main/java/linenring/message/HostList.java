package linenring.message;

import java.util.List;

/** The list of hosts, or what has changed of it since an earlier version. */
public record HostList(long version, boolean whole, List<Entry> entries) {
    /** What a host is listed as. */
    public enum State { READY, TERMINATING, GONE }

    /** One host; {@code startedMs} is Unix time, or minus infinity if that was long ago. */
    public record Entry(String host, int zone, int kind, State state, double weight, double startedMs) { }
}
