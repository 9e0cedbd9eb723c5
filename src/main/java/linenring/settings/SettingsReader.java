package linenring.settings;

import java.util.ArrayList;
import java.util.List;
import linenring.planner.PlannerSettings;
import linenring.planner.PlannerSettings.Measure;

/** Reads the figures a steward is told at its start. What is absent gets the value that changes nothing. */
public final class SettingsReader {
    private SettingsReader() {}

    public static PlannerSettings read(Lookup in) {
        String[] zones = in.list("Azs");
        String[] kinds = in.list("Kinds");
        String[] home = in.list("Specifics.HomeOnly");
        int count = in.index("Classes.count", 0);
        if (count > 31) {
            throw in.bad("Classes.count", ": at most 31 operations are understood");
        }
        List<PlannerSettings.Operation> operations = new ArrayList<>();
        for (int k = 0; k < count; k++) {
            String at = "Classes." + k + ".";
            operations.add(new PlannerSettings.Operation(
                    in.positive(at + "Aim", 1_000_000) / 1000,
                    in.amount(at + "Points", 1),
                    mask(in, at + "OnlyZones", zones),
                    mask(in, at + "OnlyKinds", kinds),
                    k < home.length && home[k].equals("true"),
                    zones.length));
        }
        return new PlannerSettings(
                operations,
                new PlannerSettings.ColdStart(in.amount("Contract.ColdFrom", 1), in.millis("Contract.Cold", 0)),
                new PlannerSettings.Channel(
                        in.positive("Specifics.PushRate", 1e6),
                        in.amount("Specifics.PerMessage", 0),
                        in.amount("Specifics.MostWaiting", 1e9),
                        in.index("Specifics.UpdateCap", 0),
                        in.millis("Specifics.CountedOver", 10000),
                        in.millis("Specifics.Propagation", 0),
                        in.millis("Specifics.TransitMax", 0),
                        in.millis("Contract.StopSendingWithin", 1000)),
                new PlannerSettings.Shards(
                        in.index("Specifics.Ranges", 0),
                        in.flag("Specifics.SingleWriter", false),
                        in.millis("Specifics.Lease", 0),
                        in.millis("Specifics.Lingers", 0)),
                measure(in),
                "on_request".equals(in.find("Discovery")),
                in.millis("Contract.MustAskIn", 0),
                in.flag("Contract.DroppedStayOpen", false),
                in.index("Specifics.DefaultSize", 0));
    }

    /** The names behind the indices, which only a steward on sockets needs: without them it can't start. */
    public static Names names(Lookup in) {
        in.text("Azs");
        in.text("Kinds");
        List<String> operations = new ArrayList<>();
        for (int k = 0; k < Math.max(1, in.index("Classes.count")); k++) {
            operations.add(in.text("Classes." + k + ".Name"));
        }
        int proxies = in.index("Specifics.ProxyCount");
        if (proxies < 1 || proxies > 65536) {
            throw in.bad("Specifics.ProxyCount", ": " + proxies + " is out of range");
        }
        return new Names(
                List.of(in.list("Azs")), List.of(in.list("Kinds")), operations, proxies, in.millis("Quantum", 4));
    }

    private static Measure measure(Lookup in) {
        String word = in.find("Specifics.ThrottleBy");
        return switch (word == null ? "" : word) {
            case "fraction" -> Measure.SHARE;
            case "per_second" -> Measure.PER_SECOND;
            default -> Measure.NONE;
        };
    }

    /** A bit for each name of the list that the field confines an operation to; absent or empty: all. */
    private static long mask(Lookup in, String field, String[] names) {
        long mask = 0;
        for (String word : in.list(field)) {
            for (int i = 0; i < names.length && i < 63; i++) {
                if (names[i].equals(word) || Integer.toString(i).equals(word)) {
                    mask |= 1L << i;
                }
            }
        }
        return mask == 0 ? -1 : mask;
    }
}
