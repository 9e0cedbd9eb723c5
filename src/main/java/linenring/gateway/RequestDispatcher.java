package linenring.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import linenring.gateway.settings.GatewaySettings;
import linenring.log.Log;
import linenring.routing.RetryContext;
import linenring.routing.RetryDecision;
import linenring.routing.StallDetector;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.HeadersFrame;

/** Creates a {@link ProxiedRequest} for each client stream that has a route, if capacity is left. Thread-safe. */
final class RequestDispatcher {
    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewaySettings settings;
    private final RequestServices services;
    private final RetryContext retryContext;
    private final GracefulShutdown shutdown;
    private final Log log;
    private final Routes routes;
    private final RequestCapacity capacity;
    private final BufferBudget retainedBodyBudget;
    private final Set<ProxiedRequest> proxiedRequests = ConcurrentHashMap.newKeySet();

    RequestDispatcher(
            GatewaySettings settings,
            MemoryLimits limits,
            RequestServices services,
            RetryContext retryContext,
            GracefulShutdown shutdown,
            Log log) {
        this.settings = settings;
        this.services = services;
        this.retryContext = retryContext;
        this.shutdown = shutdown;
        this.log = log;
        routes = new Routes(settings.routes());
        capacity = new RequestCapacity(settings.clients().maxActiveRequests(), limits.maxTotalRequestBytes());
        retainedBodyBudget = new BufferBudget(limits.maxTotalRetainedBytes());
    }

    /** Returns the listener of the stream, or null if the gateway has rejected the request. */
    Stream.Listener dispatch(Stream stream, HeadersFrame headers) {
        MetaData.Request head = (MetaData.Request) headers.getMetaData();
        int operation = routes.findOperation(head.getMethod(), head.getHttpURI().getPath());
        if (operation == Routes.UNMATCHED) {
            return reject(stream, headers, HttpStatus.NOT_FOUND_404);
        }
        long bufferBytes = maxBufferBytes(headers);
        if (!capacity.tryAcquire(bufferBytes)) {
            log.warn(
                    Http2Gateway.LOG_SUBJECT,
                    "rejecting a request with 503 because no capacity is left beside " + capacity.activeRequests()
                            + " active requests");
            return reject(stream, headers, HttpStatus.SERVICE_UNAVAILABLE_503);
        }
        services.statistics().recordRequest(operation);
        ProxiedRequest request = createRequest(stream, headers, operation, bufferBytes);
        proxiedRequests.add(request);
        request.begin();
        return request;
    }

    /**
     * Returns the memory that a request may take: its headers and its flow-control windows, one for the response and one for a
     * request body (RFC 9113, 5.2).
     */
    private long maxBufferBytes(HeadersFrame headers) {
        long windows = headers.isEndStream() ? 1 : 2;
        return HeaderListSize.heapBytes(headers.getMetaData())
                + windows * settings.body().streamWindowBytes();
    }

    private ProxiedRequest createRequest(Stream stream, HeadersFrame headers, int operation, long bufferBytes) {
        String keyHeader = settings.idempotencyKeyHeader();
        String idempotencyKey =
                keyHeader == null ? null : headers.getMetaData().getHttpFields().get(keyHeader);
        RetryDecision decision = new RetryDecision(
                retryContext, operation, settings.operations().get(operation), idempotencyKey, services.nowMs());
        RetainedBody retainedBody = new RetainedBody(settings.body().maxRetainedBytes(), retainedBodyBudget);
        long maxStallNanos = (long) (settings.clients().maxStallMs() * NANOS_PER_MILLI);
        return new ProxiedRequest(
                new ProxiedRequest.ClientRequest(
                        stream,
                        headers,
                        operation,
                        new RequestBody(headers.isEndStream() ? null : ReceiveBuffer.attachTo(stream), retainedBody),
                        new StallDetector(maxStallNanos),
                        settings.clients().maxHeaderBytes()),
                decision,
                services,
                request -> requestEnded(request, bufferBytes));
    }

    private Stream.Listener reject(Stream stream, HeadersFrame headers, int status) {
        Responses.send(stream, status, Responses.emptyBodyFields(), headers.isEndStream());
        shutdown.streamClosed(stream.getSession());
        return null;
    }

    private void requestEnded(ProxiedRequest request, long bufferBytes) {
        if (proxiedRequests.remove(request)) {
            capacity.release(bufferBytes);
            shutdown.streamClosed(request.clientStream().getSession());
        }
    }

    /**
     * Ends all requests whose responses have stalled, and while other requests lack capacity or wait for a host, those whose
     * clients have stopped within the body; called periodically.
     */
    void endStalledRequests() {
        long nowNanos = System.nanoTime();
        boolean isCapacityNeeded =
                capacity.isExhausted() || services.upstreams().hasWaiters();
        for (ProxiedRequest request : proxiedRequests) {
            request.endIfStalled(nowNanos);
            if (isCapacityNeeded) {
                request.endIfBodyStopped(nowNanos);
            }
        }
    }

    int activeRequests() {
        return capacity.activeRequests();
    }
}
