package linenring.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import linenring.gateway.settings.GatewaySettings.Route;
import org.junit.jupiter.api.Test;

class RoutesTest {
    @Test
    void findsLongestPrefixOfWholeSegments() {
        Routes routes =
                new Routes(List.of(new Route("GET", "/a", 0), new Route("GET", "/a/b", 1), new Route("GET", "/c/", 2)));
        assertEquals(0, routes.findOperation("GET", "/a"));
        assertEquals(0, routes.findOperation("GET", "/a/x/y"));
        assertEquals(1, routes.findOperation("GET", "/a/b/x?q=/c/"));
        assertEquals(Routes.UNMATCHED, routes.findOperation("GET", "/ab"));
        assertEquals(2, routes.findOperation("GET", "/c/d"));
        assertEquals(Routes.UNMATCHED, routes.findOperation("GET", "/c"));
        assertEquals(Routes.UNMATCHED, routes.findOperation("POST", "/a"));
        assertEquals(Routes.UNMATCHED, routes.findOperation("CONNECT", null));
    }
}
