package linenring.figures;

import java.util.List;

/** What stands behind the indices: zones, machine kinds and operations by name, and how many proxies there are. */
public record Names(List<String> zones, List<String> kinds, List<String> operations, int proxies,
        double quantum) {
}
