package linenring.gateway.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import linenring.routing.ConnectionPool;
import linenring.routing.OperationPolicy;

/**
 * The settings of a gateway, as its file has them or by default. Times are ms, sizes bytes.
 *
 * @param listen               where clients connect to
 * @param proxy                the number under which it subscribes to the controller
 * @param zone                 its zone (an index)
 * @param usualPerSecond       requests that usually come, as it says when it subscribes
 * @param idempotencyKeyHeader the header that carries a request's idempotency key, or null
 * @param operations           in the order of the controller's operations
 * @param routes               which requests are of which operation
 * @param retries              how many there may be
 * @param outlierEjection      of hosts whose attempts fail
 * @param pool                 connections to one host
 * @param dialTimeoutMs        after which a dial has failed
 * @param clients              what they may take
 * @param body                 what bodies may take
 * @param reportIntervalMs     between two reports to the controller
 * @param maxDrainMs           after which a drain is over whatever is active
 * @param handover             null where upgrades are not configured
 */
public record GatewaySettings(
        InetSocketAddress listen,
        int proxy,
        int zone,
        double usualPerSecond,
        String idempotencyKeyHeader,
        List<OperationPolicy> operations,
        List<Route> routes,
        Retries retries,
        OutlierEjection outlierEjection,
        ConnectionPool.Limits pool,
        double dialTimeoutMs,
        Clients clients,
        Body body,
        double reportIntervalMs,
        double maxDrainMs,
        Handover handover) {

    /** Requests with this method and a path that begins so are of that operation (an index). */
    public record Route(String method, String prefix, int operation) {}

    /**
     * The retry budget and the time of attempts.
     *
     * @param budgetShare       retries as a share of first attempts
     * @param budgetWindowMs    over which the share is taken
     * @param minRetries        allowed in each window in any case
     * @param attemptObjectives latency objectives that an attempt gets if another one may follow it
     */
    public record Retries(double budgetShare, double budgetWindowMs, int minRetries, double attemptObjectives) {}

    /** After {@code consecutiveFailures} of its own attempts at a host the gateway ejects it for {@code ejectionMs}; 0: never. */
    public record OutlierEjection(int consecutiveFailures, double ejectionMs) {}

    /**
     * What clients may take.
     *
     * @param maxConnections     of all clients
     * @param maxStreams         of one connection
     * @param maxActiveRequests  of all clients
     * @param maxHeaderBytes     of one request
     * @param idleTimeoutMs      after which a connection without streams is closed
     * @param maxStallMs         after which an answer that does not move on is ended
     * @param maxFramesPerSecond of the frames with which a client could keep the gateway busy, on one connection
     */
    public record Clients(
            int maxConnections,
            int maxStreams,
            int maxActiveRequests,
            int maxHeaderBytes,
            double idleTimeoutMs,
            double maxStallMs,
            int maxFramesPerSecond) {}

    /**
     * What bodies may take.
     *
     * @param maxRetainedBytes      of one request, for its retries
     * @param maxRetainedBytesInAll of all requests
     * @param streamWindowBytes     the flow-control window of one stream
     * @param maxWindowBytesInAll   of all active requests' streams
     */
    public record Body(
            int maxRetainedBytes, long maxRetainedBytesInAll, int streamWindowBytes, long maxWindowBytesInAll) {}

    /**
     * Upgrades to a new process.
     *
     * @param dir         of the socket
     * @param command     that starts the new process; empty: this one's own
     * @param greetMs     in which it has to say that it is there
     * @param prepareMs   in which it has to be ready to accept
     * @param takeMs      in which it has to accept
     * @param probationMs in which the old process takes over again if the new one ends
     */
    public record Handover(
            Path dir, List<String> command, double greetMs, double prepareMs, double takeMs, double probationMs) {}
}
