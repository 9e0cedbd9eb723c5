package linenring.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linenring.gateway.settings.GatewaySettings;

/** Method and path to operation: the longest prefix counts, by whole segments; a query is no part of the path. */
final class Routes {
    static final int NONE = -1;

    private final Map<String, TreeMap<String, Integer>> byMethod = new HashMap<>();

    Routes(List<GatewaySettings.Route> routes) {
        routes.forEach(
                r -> byMethod.computeIfAbsent(r.method(), m -> new TreeMap<>()).put(r.prefix(), r.operation()));
    }

    /** The index of the operation, or {@link #NONE}. */
    int operation(String method, String pathAndQuery) {
        TreeMap<String, Integer> prefixes = byMethod.get(method);
        if (prefixes == null || pathAndQuery == null) {
            return NONE;
        }
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        for (String at = path; at != null; at = shorter(at)) {
            Integer found = prefixes.get(at);
            if (found != null) {
                return found;
            }
        }
        return NONE;
    }

    /** The next shorter prefix: /a/b, /a/, /a, /; null past the last. */
    private static String shorter(String path) {
        if (path.length() <= 1) {
            return null;
        }
        int slash = path.lastIndexOf('/', path.length() - 1);
        return slash < 0 ? null : slash == path.length() - 1 ? path.substring(0, slash) : path.substring(0, slash + 1);
    }
}
