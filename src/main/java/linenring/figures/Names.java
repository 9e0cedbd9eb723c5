package linenring.figures;

import java.util.List;

/**
 * What stands behind the indices: zones, machine kinds and operations by name, and how many proxies there are;
 * and how close together inputs are acted on, in milliseconds.
 */
public record Names(List<String> zones, List<String> kinds, List<String> operations, int proxies,
        double quantum) {
}
