package linenring.settings;

import java.util.ArrayList;
import java.util.List;
import linenring.planner.PlannerSettings;
import linenring.planner.PlannerSettings.AdmissionUnit;

/**
 * Reads the settings that a controller is started with. Only this class maps the keys of the settings to the names of
 * {@link PlannerSettings} and {@link Names}. An absent key gets a neutral default.
 */
public final class SettingsReader {
    /** Maximum number of operations: a mask of operations is an int, whose sign bit is not used. */
    private static final int MAX_OPERATIONS = 31;

    /** Maximum number of zones or kinds in a mask, which is a long whose sign bit is not used. */
    private static final int MAX_MASK_BITS = 63;

    private static final long UNRESTRICTED_MASK = -1;
    private static final int MAX_PROXIES = 65_536;

    private static final double MICROS_PER_MS = 1000;
    private static final double DEFAULT_OBJECTIVE_MICROS = 1_000_000;
    private static final double DEFAULT_ENTRIES_PER_SECOND = 1e6;
    private static final double DEFAULT_MAX_QUEUED_ENTRIES = 1e9;
    private static final double DEFAULT_MESSAGE_LIMIT_SPAN_MS = 10_000;
    private static final double DEFAULT_DRAIN_GRACE_MS = 1000;

    /** Length of the interval within which inputs are handled as one batch. */
    private static final double DEFAULT_QUANTUM_MS = 4;

    private SettingsReader() {}

    /** Reads the settings of the planner. */
    public static PlannerSettings read(Lookup source) {
        return new PlannerSettings(
                operations(source),
                new PlannerSettings.ColdStart(
                        source.nonNegativeNumber("Contract.ColdFrom", 1), source.millis("Contract.Cold", 0)),
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
            throw source.invalidValue("Classes.count", ": at most " + MAX_OPERATIONS + " operations are supported");
        }
        List<String> zones = source.list("Azs");
        List<String> kinds = source.list("Kinds");
        List<String> homeZoneOnly = source.list("Specifics.HomeOnly");
        List<PlannerSettings.Operation> operations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String prefix = "Classes." + i + ".";
            operations.add(new PlannerSettings.Operation(
                    source.positiveNumber(prefix + "Aim", DEFAULT_OBJECTIVE_MICROS) / MICROS_PER_MS,
                    source.nonNegativeNumber(prefix + "Points", 1),
                    allowedMask(source.list(prefix + "OnlyZones"), zones),
                    allowedMask(source.list(prefix + "OnlyKinds"), kinds),
                    i < homeZoneOnly.size() && homeZoneOnly.get(i).equals("true"),
                    zones.size()));
        }
        return operations;
    }

    private static PlannerSettings.Channel channel(Lookup source) {
        return new PlannerSettings.Channel(
                source.positiveNumber("Specifics.PushRate", DEFAULT_ENTRIES_PER_SECOND),
                source.nonNegativeNumber("Specifics.PerMessage", 0),
                source.nonNegativeNumber("Specifics.MostWaiting", DEFAULT_MAX_QUEUED_ENTRIES),
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

    /**
     * Reads the names of zones, kinds and operations, which a controller needs only to serve on sockets and cannot
     * start without.
     */
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
            throw source.invalidValue("Specifics.ProxyCount", ": " + proxies + " is out of range");
        }
        return new Names(
                source.list("Azs"),
                source.list("Kinds"),
                operations,
                proxies,
                source.millis("Quantum", DEFAULT_QUANTUM_MS));
    }

    private static AdmissionUnit measure(Lookup source) {
        String value = source.find("Specifics.ThrottleBy");
        return switch (value == null ? "" : value) {
            case "fraction" -> AdmissionUnit.SHARE;
            case "per_second" -> AdmissionUnit.PER_SECOND;
            default -> AdmissionUnit.NONE;
        };
    }

    /**
     * Returns a mask with a bit for each name that an operation is restricted to, by name or index; all bits if it is
     * not restricted.
     */
    private static long allowedMask(List<String> allowedNames, List<String> names) {
        long mask = 0;
        for (int i = 0; i < names.size() && i < MAX_MASK_BITS; i++) {
            if (allowedNames.contains(names.get(i)) || allowedNames.contains(Integer.toString(i))) {
                mask |= 1L << i;
            }
        }
        return mask == 0 ? UNRESTRICTED_MASK : mask;
    }
}
