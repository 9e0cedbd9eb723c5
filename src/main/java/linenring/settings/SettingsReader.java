package linenring.settings;

import java.util.ArrayList;
import java.util.List;
import linenring.planner.PlannerSettings;
import linenring.planner.PlannerSettings.Measure;

/**
 * Reads the settings that a controller is started with: the one place that knows both their keys and our names. What is absent
 * gets the value that changes nothing.
 */
public final class SettingsReader {
    /** Masks of operations are of 32 bits, one of them the sign. */
    private static final int MAX_OPERATIONS = 31;

    /** Masks of zones and kinds are of 64 bits, one of them the sign. */
    private static final int MAX_MASK_BITS = 63;

    private static final long MASK_OF_ALL = -1;
    private static final int MAX_PROXIES = 65_536;

    private static final double MICROS_PER_MS = 1000;
    private static final double DEFAULT_OBJECTIVE_MICROS = 1_000_000;
    private static final double DEFAULT_ENTRIES_PER_SECOND = 1e6;
    private static final double DEFAULT_MAX_QUEUED_ENTRIES = 1e9;
    private static final double DEFAULT_MESSAGE_LIMIT_SPAN_MS = 10_000;
    private static final double DEFAULT_DRAIN_GRACE_MS = 1000;

    /** Inputs that are as close together are acted on together. */
    private static final double DEFAULT_QUANTUM_MS = 4;

    private SettingsReader() {}

    /** Reads what the decisions depend on. */
    public static PlannerSettings read(Lookup source) {
        return new PlannerSettings(
                operations(source),
                new PlannerSettings.ColdStart(source.amount("Contract.ColdFrom", 1), source.millis("Contract.Cold", 0)),
                channel(source),
                shards(source),
                measure(source),
                "on_request".equals(source.find("Discovery")),
                source.millis("Contract.MustAskIn", 0),
                source.flag("Contract.DroppedStayOpen", false),
                source.index("Specifics.DefaultSize", 0));
    }

    private static List<PlannerSettings.Operation> operations(Lookup source) {
        int count = source.index("Classes.count", 0);
        if (count > MAX_OPERATIONS) {
            throw source.bad("Classes.count", ": at most " + MAX_OPERATIONS + " operations are understood");
        }
        List<String> zones = source.list("Azs");
        List<String> kinds = source.list("Kinds");
        List<String> homeZoneOnly = source.list("Specifics.HomeOnly");
        List<PlannerSettings.Operation> operations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prefix = "Classes." + i + ".";
            operations.add(new PlannerSettings.Operation(
                    source.positive(prefix + "Aim", DEFAULT_OBJECTIVE_MICROS) / MICROS_PER_MS,
                    source.amount(prefix + "Points", 1),
                    mask(source.list(prefix + "OnlyZones"), zones),
                    mask(source.list(prefix + "OnlyKinds"), kinds),
                    i < homeZoneOnly.size() && homeZoneOnly.get(i).equals("true"),
                    zones.size()));
        }
        return operations;
    }

    private static PlannerSettings.Channel channel(Lookup source) {
        return new PlannerSettings.Channel(
                source.positive("Specifics.PushRate", DEFAULT_ENTRIES_PER_SECOND),
                source.amount("Specifics.PerMessage", 0),
                source.amount("Specifics.MostWaiting", DEFAULT_MAX_QUEUED_ENTRIES),
                source.index("Specifics.UpdateCap", 0),
                source.millis("Specifics.CountedOver", DEFAULT_MESSAGE_LIMIT_SPAN_MS),
                source.millis("Specifics.Propagation", 0),
                source.millis("Specifics.TransitMax", 0),
                source.millis("Contract.StopSendingWithin", DEFAULT_DRAIN_GRACE_MS));
    }

    private static PlannerSettings.Shards shards(Lookup source) {
        return new PlannerSettings.Shards(
                source.index("Specifics.Ranges", 0),
                source.flag("Specifics.SingleWriter", false),
                source.millis("Specifics.Lease", 0),
                source.millis("Specifics.Lingers", 0));
    }

    /** Reads the names behind the indices, which only a controller on sockets needs: without them it cannot start. */
    public static Names names(Lookup source) {
        source.text("Azs");
        source.text("Kinds");
        List<String> operations = new ArrayList<>();
        int count = Math.max(1, source.index("Classes.count"));
        for (int i = 0; i < count; i++) {
            operations.add(source.text("Classes." + i + ".Name"));
        }
        int proxies = source.index("Specifics.ProxyCount");
        if (proxies < 1 || proxies > MAX_PROXIES) {
            throw source.bad("Specifics.ProxyCount", ": " + proxies + " is out of range");
        }
        return new Names(
                source.list("Azs"),
                source.list("Kinds"),
                operations,
                proxies,
                source.millis("Quantum", DEFAULT_QUANTUM_MS));
    }

    private static Measure measure(Lookup source) {
        String value = source.find("Specifics.ThrottleBy");
        return switch (value == null ? "" : value) {
            case "fraction" -> Measure.SHARE;
            case "per_second" -> Measure.PER_SECOND;
            default -> Measure.NONE;
        };
    }

    /** A bit for each of the names that an operation is confined to, by name or index; none: all. */
    private static long mask(List<String> confinedTo, List<String> names) {
        long mask = 0;
        for (int i = 0; i < names.size() && i < MAX_MASK_BITS; i++) {
            if (confinedTo.contains(names.get(i)) || confinedTo.contains(Integer.toString(i))) {
                mask |= 1L << i;
            }
        }
        return mask == 0 ? MASK_OF_ALL : mask;
    }
}
