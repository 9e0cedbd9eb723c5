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
 * One attempt at discovery's agent: sends the request and reads the answer until either ends. Read on the selector's thread
 * alone; ended by it or by the scheduler's.
 */
final class AgentConnection extends AbstractConnection {
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** The watch's own request has under 200 bytes. */
    private static final int MAX_REQUEST_BYTES = 1024;

    /** The agent sends a blank line every 2 s at least; half a second more is for its way. */
    private static final long SILENCE_TIMEOUT_MS = 2500;

    private final HostWatch watch;
    private final EndpointSource source;
    private final ListRequest request;
    private final AgentResponse response;
    private final ByteBuffer buffer = BufferUtil.allocate(READ_BUFFER_BYTES);
    private volatile boolean ended; // written under "this"

    AgentConnection(EndPoint endPoint, Executor executor, HostWatch watch, EndpointSource source, ListRequest request) {
        super(endPoint, executor);
        this.watch = watch;
        this.source = source;
        this.request = request;
        response = new AgentResponse(watch.applier(), source, request.isForWholeList());
        endPoint.setIdleTimeout(SILENCE_TIMEOUT_MS);
    }

    @Override
    @SuppressWarnings("deprecation") // the selector still asks for it, and would hand reading to another thread
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (!watch.state().connected(source, this)) {
            getEndPoint().close();
            return;
        }
        try {
            sendRequest();
        } catch (IOException | RuntimeException failure) { // a fault here must end this attempt alone
            end("fault: " + failure);
        }
    }

    private void sendRequest() throws IOException {
        MetaData.Request head = new MetaData.Request(
                "GET",
                HttpURI.from(request.target()),
                HttpVersion.HTTP_1_1,
                HttpFields.build().add(HttpHeader.HOST, source.toString()).add(HttpHeader.ACCEPT, "application/json"),
                0);
        HttpGenerator generator = new HttpGenerator();
        ByteBuffer header = BufferUtil.allocate(MAX_REQUEST_BYTES);
        HttpGenerator.Result result = generator.generateRequest(head, null, null, null, true);
        if (result == HttpGenerator.Result.NEED_HEADER) {
            result = generator.generateRequest(head, header, null, null, true);
        }
        if (result != HttpGenerator.Result.FLUSH) {
            end("the request could not be written: " + result);
            return;
        }
        response.requested();
        getEndPoint().write(Callback.from(() -> {}, cause -> end("reset")), header);
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            if (readAvailable()) {
                fillInterested();
            }
        } catch (RuntimeException failure) { // a fault here must end this attempt alone
            end("fault: " + failure);
        }
    }

    /**
     * Reads what has come without waiting for more, on the selector's thread alone. True where the attempt goes on; whether
     * its endpoint is asked for further bytes is unchanged.
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
                    end(response.fault().orElse(AgentResponse.ENDED_BY_PEER));
                    return false;
                }
                response.parse(buffer);
                if (response.isDone()) {
                    end(response.fault().orElse("the answer is complete"));
                }
            }
        } catch (IOException failure) {
            end("reset");
        } catch (RuntimeException failure) { // a fault here must end this attempt alone
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
        if (response.hasDeliveredWholeList()) {
            watch.wholeListDelivered(source);
        } else {
            watch.attemptEnded(source, new AttemptEnd(response.stage(), reason));
        }
    }
}
