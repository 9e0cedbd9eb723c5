package linenring.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linenring.gateway.settings.GatewaySettings;

/** Maps a method and path, without the query, to an operation by the longest prefix of complete path segments. */
final class Routes {
    /** Returned when no route matches. */
    static final int UNMATCHED = -1;

    private final Map<String, TreeMap<String, Integer>> operationsByMethod = new HashMap<>();

    Routes(List<GatewaySettings.Route> routes) {
        routes.forEach(route -> operationsByMethod
                .computeIfAbsent(route.method(), method -> new TreeMap<>())
                .put(route.prefix(), route.operation()));
    }

    /** Returns the index of a request's operation, or {@link #UNMATCHED}. */
    int findOperation(String method, String pathAndQuery) {
        Map<String, Integer> operationsByPrefix = operationsByMethod.get(method);
        if (operationsByPrefix == null || pathAndQuery == null) {
            return UNMATCHED;
        }
        int queryStart = pathAndQuery.indexOf('?');
        String path = queryStart < 0 ? pathAndQuery : pathAndQuery.substring(0, queryStart);
        for (String prefix = path; prefix != null; prefix = nextShorterPrefix(prefix)) {
            Integer operation = operationsByPrefix.get(prefix);
            if (operation != null) {
                return operation;
            }
        }
        return UNMATCHED;
    }

    /** Returns the next shorter prefix in an order such as /a/b, /a/, /a, /, or null after the shortest one. */
    private static String nextShorterPrefix(String path) {
        if (path.length() <= 1) {
            return null;
        }
        int lastSlash = path.lastIndexOf('/');
        if (lastSlash < 0) {
            return null;
        }
        return lastSlash == path.length() - 1 ? path.substring(0, lastSlash) : path.substring(0, lastSlash + 1);
    }
}
