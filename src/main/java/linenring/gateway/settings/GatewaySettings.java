package linenring.gateway.settings;

import java.net.InetSocketAddress;
import java.util.List;
import linenring.routing.ConnectionPool;
import linenring.routing.OperationPolicy;

/**
 * What a front is told. Times are ms, sizes bytes.
 *
 * @param handover   null where upgrades are not asked for
 * @param proxy      under whose number it joins the steward, in {@code zone} (an index), with {@code usual} a second
 * @param markHeader the header that carries a fingerprinted invocation's mark, or null
 * @param operations in the order of the steward's operations
 */
public record GatewaySettings(
        InetSocketAddress listen,
        int proxy,
        int zone,
        double usual,
        String markHeader,
        List<OperationPolicy> operations,
        List<Route> routes,
        Further tries,
        Avoid avoid,
        ConnectionPool.Limits pool,
        double dialMs,
        Clients clients,
        Body body,
        double reportMs,
        double drainMs,
        Handover handover) {

    /** Invocations whose method is this and whose path begins so are of that operation (an index). */
    public record Route(String method, String prefix, int operation) {}

    /** The budget of further tries, and after how many latency objectives one may follow. */
    public record Further(double share, double overMs, int least, double objectives) {}

    /** After so many own tries that errored in a row a host is avoided for so long. */
    public record Avoid(int after, double forMs) {}

    /** What clients may take: connections, streams of one, invocations in all, header bytes, and when they are ended. */
    public record Clients(
            int connections,
            int streams,
            int running,
            int headers,
            double idleMs,
            double stallMs,
            int framesPerSecond) {}

    /**
     * Bytes of a body kept for a further try, of all bodies together; the window of one stream; and what all running
     * invocations' windows may come to.
     */
    public record Body(int kept, long keptInAll, int window, long inAll) {}

    /** Upgrades: the directory of the socket, the command that starts the new process (empty: this one's own), bounds. */
    public record Handover(
            java.nio.file.Path dir,
            List<String> command,
            double greetMs,
            double prepareMs,
            double takeMs,
            double probationMs) {}
}
