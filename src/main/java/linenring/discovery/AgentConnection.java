package linenring.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * One connection attempt to a discovery agent: sends one request and reads the response until the response is complete or the
 * attempt fails. Only the selector's thread reads the connection; that thread or a scheduler thread ends the attempt.
 */
final class AgentConnection extends AbstractConnection {
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** The requests that the watch sends take less than 200 bytes. */
    private static final int MAX_REQUEST_BYTES = 1024;

    /** An agent sends at least a blank line every 2 s; 0.5 s is added for transmission. */
    private static final long SILENCE_TIMEOUT_MS = 2500;

    private final HostWatch watch;
    private final EndpointSource source;
    private final ListRequest request;
    private final AgentResponse response;
    private final ByteBuffer buffer = BufferUtil.allocate(READ_BUFFER_BYTES);
    private volatile boolean ended; // written under the monitor of "this"

    AgentConnection(EndPoint endPoint, Executor executor, HostWatch watch, EndpointSource source, ListRequest request) {
        super(endPoint, executor);
        this.watch = watch;
        this.source = source;
        this.request = request;
        response = new AgentResponse(watch.applier(), source, request.isForCompleteList());
        endPoint.setIdleTimeout(SILENCE_TIMEOUT_MS);
    }

    @Override
    @SuppressWarnings(
            "deprecation") // the selector still calls this method; without NON_BLOCKING another thread would read
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (!watch.state().registerConnection(source, this)) {
            getEndPoint().close();
            return;
        }
        try {
            sendRequest();
        } catch (IOException | RuntimeException failure) { // an unexpected exception must end only this attempt
            end("fault: " + failure);
        }
    }

    private void sendRequest() throws IOException {
        MetaData.Request requestHead = new MetaData.Request(
                "GET",
                HttpURI.from(request.target()),
                HttpVersion.HTTP_1_1,
                HttpFields.build().add(HttpHeader.HOST, source.toString()).add(HttpHeader.ACCEPT, "application/json"),
                0);
        HttpGenerator generator = new HttpGenerator();
        ByteBuffer header = BufferUtil.allocate(MAX_REQUEST_BYTES);
        HttpGenerator.Result result = generator.generateRequest(requestHead, null, null, null, true);
        if (result == HttpGenerator.Result.NEED_HEADER) {
            result = generator.generateRequest(requestHead, header, null, null, true);
        }
        if (result != HttpGenerator.Result.FLUSH) {
            end("request could not be generated: " + result);
            return;
        }
        response.requestSent();
        getEndPoint().write(Callback.from(() -> {}, cause -> end("reset")), header);
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            if (readAvailable()) {
                fillInterested();
            }
        } catch (RuntimeException failure) { // an unexpected exception must end only this attempt
            end("fault: " + failure);
        }
    }

    /**
     * Reads the bytes that have arrived without waiting for more, and returns whether the attempt is still open. Called on the
     * selector's thread only. Does not register interest in further bytes.
     */
    boolean readAvailable() {
        try {
            while (!ended) {
                BufferUtil.clear(buffer);
                int count = getEndPoint().fill(buffer);
                if (count == 0) {
                    return true;
                }
                if (count < 0) {
                    response.parseAtEnd(buffer);
                    end(response.fault().orElse(AgentResponse.CLOSED_BY_PEER));
                    return false;
                }
                response.parse(buffer);
                if (response.isDone()) {
                    end(response.fault().orElse("response is complete"));
                }
            }
        } catch (IOException failure) {
            end("reset");
        } catch (RuntimeException failure) { // an unexpected exception must end only this attempt
            end("fault: " + failure);
        }
        return false;
    }

    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        end("nothing came for " + SILENCE_TIMEOUT_MS + " ms");
        return false;
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        end("reset");
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        end("reset");
    }

    private synchronized void end(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        getEndPoint().close();
        if (response.hasDeliveredCompleteList()) {
            watch.completeListDelivered(source);
        } else {
            watch.attemptEnded(source, new AttemptEnd(response.stage(), reason));
        }
    }
}
