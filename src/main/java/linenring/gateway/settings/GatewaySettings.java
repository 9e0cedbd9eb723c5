package linenring.gateway.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import linenring.routing.ConnectionPool;
import linenring.routing.OperationPolicy;

/**
 * The settings of a gateway, from its settings file or from the defaults. Times are in ms, sizes in bytes.
 *
 * @param listen               address that clients connect to
 * @param proxy                proxy number that the gateway uses when it subscribes to the controller
 * @param zone                 index of the gateway's zone
 * @param usualRequestsPerSecond       usual request rate, which the gateway sends when it subscribes
 * @param idempotencyKeyHeader name of the header that carries the idempotency key of a request, or null
 * @param operations           policies of the operations, in the order of the controller's operations
 * @param routes               mapping of requests to operations
 * @param retries              limits of retries
 * @param outlierEjection      limits of outlier ejection
 * @param pool                 limits of the connection pool of one host
 * @param dialTimeoutMs        time after which a dial has failed
 * @param clients              limits of client connections and requests
 * @param body                 limits of request and response bodies
 * @param reportIntervalMs     interval between two load reports to the controller
 * @param maxDrainMs           time after which a drain ends even if requests are still active
 * @param handover             settings of upgrades, or null if upgrades are not configured
 */
public record GatewaySettings(
        InetSocketAddress listen,
        int proxy,
        int zone,
        double usualRequestsPerSecond,
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

    /** Maps requests with a method and a path prefix to an operation, which is given by its index. */
    public record Route(String method, String prefix, int operation) {}

    /**
     * The retry budget and the timeout of attempts.
     *
     * @param budgetShare       maximum number of retries as a fraction of first attempts
     * @param budgetWindowMs    sliding window of the retry budget
     * @param minRetries        number of retries that each window always allows
     * @param attemptTimeoutObjectives timeout of an attempt that can be retried, as a multiple of the latency objective
     */
    public record Retries(double budgetShare, double budgetWindowMs, int minRetries, double attemptTimeoutObjectives) {}

    /**
     * The limits of outlier ejection.
     *
     * @param consecutiveFailures number of consecutive failures of the gateway's attempts that eject a host; 0 disables
     *                            ejection
     * @param ejectionMs          duration of an ejection
     */
    public record OutlierEjection(int consecutiveFailures, double ejectionMs) {}

    /**
     * The limits of client connections and requests.
     *
     * @param maxConnections     maximum number of connections of all clients
     * @param maxStreams         maximum number of concurrent streams on one connection
     * @param maxActiveRequests  maximum number of active requests of all clients
     * @param maxHeaderBytes     maximum size of the headers of one request
     * @param idleTimeoutMs      time after which a connection without streams is closed
     * @param maxStallMs         time without progress after which an answer is ended
     * @param maxFramesPerSecond maximum rate of control and empty frames on one connection, which limits how much work
     *                           a client can cause without sending requests
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
     * The limits of request and response bodies.
     *
     * @param maxRetainedBytes      maximum size of the body that is retained for retries of one request
     * @param maxTotalRetainedBytes maximum total size of the bodies that are retained for retries of all requests
     * @param streamWindowBytes     flow-control window of one stream
     * @param maxTotalWindowBytes   maximum total size of the flow-control windows of all active requests
     */
    public record Body(
            int maxRetainedBytes, long maxTotalRetainedBytes, int streamWindowBytes, long maxTotalWindowBytes) {}

    /**
     * The settings of a handover, which upgrades the gateway to a new process.
     *
     * @param dir         directory of the handover socket
     * @param command     command that starts the new process; if empty, the command of the current process is used
     * @param greetingTimeoutMs     time in which the new process must send its greeting
     * @param prepareTimeoutMs   time in which the new process must become ready to accept connections
     * @param takeoverTimeoutMs      time in which the new process must start accepting connections
     * @param probationMs time during which the old process takes over again if the new one exits
     */
    public record Handover(
            Path dir,
            List<String> command,
            double greetingTimeoutMs,
            double prepareTimeoutMs,
            double takeoverTimeoutMs,
            double probationMs) {}
}
