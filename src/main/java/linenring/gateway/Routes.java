package linenring.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linenring.gateway.settings.GatewaySettings;

/** Method and path to operation: the longest prefix of whole segments counts; a query is no part of the path. */
final class Routes {
    /** No operation. */
    static final int NONE = -1;

    private final Map<String, TreeMap<String, Integer>> operationsByMethod = new HashMap<>();

    Routes(List<GatewaySettings.Route> routes) {
        routes.forEach(route -> operationsByMethod
                .computeIfAbsent(route.method(), method -> new TreeMap<>())
                .put(route.prefix(), route.operation()));
    }

    /** The index of the operation, or {@link #NONE}. */
    int operation(String method, String pathAndQuery) {
        Map<String, Integer> operationsByPrefix = operationsByMethod.get(method);
        if (operationsByPrefix == null || pathAndQuery == null) {
            return NONE;
        }
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        for (String prefix = path; prefix != null; prefix = nextShorterPrefix(prefix)) {
            Integer operation = operationsByPrefix.get(prefix);
            if (operation != null) {
                return operation;
            }
        }
        return NONE;
    }

    /** The next of /a/b, /a/, /a, /; null past the last. */
    private static String nextShorterPrefix(String path) {
        if (path.length() <= 1) {
            return null;
        }
        int slash = path.lastIndexOf('/');
        if (slash < 0) {
            return null;
        }
        return slash == path.length() - 1 ? path.substring(0, slash) : path.substring(0, slash + 1);
    }
}
