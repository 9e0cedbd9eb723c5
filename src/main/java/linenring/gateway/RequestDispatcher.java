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

/** Makes a {@link ProxiedRequest} of each client's stream that has a route and capacity. Thread-safe. */
final class RequestDispatcher {
    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewaySettings settings;
    private final RequestServices services;
    private final RetryContext retryContext;
    private final GracefulShutdown shutdown;
    private final Log log;
    private final Routes routes;
    private final RequestCapacity capacity;
    private final BufferBudget retainedBodies;
    private final Set<ProxiedRequest> active = ConcurrentHashMap.newKeySet();

    RequestDispatcher(
            GatewaySettings settings,
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
        capacity = new RequestCapacity(
                settings.clients().maxActiveRequests(), settings.body().maxWindowBytesInAll());
        retainedBodies = new BufferBudget(settings.body().maxRetainedBytesInAll());
    }

    /** The listener of the stream, or null where it was answered at once. */
    Stream.Listener dispatch(Stream stream, HeadersFrame headers) {
        MetaData.Request head = (MetaData.Request) headers.getMetaData();
        int operation = routes.operation(head.getMethod(), head.getHttpURI().getPath());
        if (operation == Routes.NONE) {
            return reject(stream, headers, HttpStatus.NOT_FOUND_404);
        }
        long bufferBytes = maxBufferBytes(headers);
        if (!capacity.tryAcquire(bufferBytes)) {
            log.warn(
                    Http2Gateway.LOG_SUBJECT, "no capacity for one more request beside " + capacity.active() + ": 503");
            return reject(stream, headers, HttpStatus.SERVICE_UNAVAILABLE_503);
        }
        services.statistics().recordRequest(operation);
        ProxiedRequest request = create(stream, headers, operation, bufferBytes);
        active.add(request);
        request.begin();
        return request;
    }

    /** A window of its answer, and one of its body if it has any (RFC 9113, 5.2). */
    private long maxBufferBytes(HeadersFrame headers) {
        long windows = headers.isEndStream() ? 1 : 2;
        return windows * settings.body().streamWindowBytes();
    }

    private ProxiedRequest create(Stream stream, HeadersFrame headers, int operation, long bufferBytes) {
        String keyHeader = settings.idempotencyKeyHeader();
        boolean hasIdempotencyKey =
                keyHeader != null && headers.getMetaData().getHttpFields().contains(keyHeader);
        RetryDecision decision = new RetryDecision(
                retryContext, operation, settings.operations().get(operation), hasIdempotencyKey, services.nowMs());
        RetainedBody retained = new RetainedBody(settings.body().maxRetainedBytes(), retainedBodies);
        long maxStallNanos = (long) (settings.clients().maxStallMs() * NANOS_PER_MILLI);
        return new ProxiedRequest(
                new ProxiedRequest.ClientRequest(
                        stream,
                        headers,
                        operation,
                        new RequestBody(stream, retained, headers.isEndStream()),
                        new StallDetector(maxStallNanos)),
                decision,
                services,
                request -> ended(request, bufferBytes));
    }

    private Stream.Listener reject(Stream stream, HeadersFrame headers, int status) {
        Responses.send(stream, status, Responses.empty(), headers.isEndStream());
        shutdown.streamClosed(stream.getSession());
        return null;
    }

    private void ended(ProxiedRequest request, long bufferBytes) {
        if (active.remove(request)) {
            capacity.release(bufferBytes);
            shutdown.streamClosed(request.client().getSession());
        }
    }

    /** To be called periodically. */
    void endStalledRequests() {
        long nowNanos = System.nanoTime();
        active.forEach(request -> request.endIfStalled(nowNanos));
    }

    int activeRequests() {
        return capacity.active();
    }
}
