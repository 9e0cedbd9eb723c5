package linenring.gateway;

import java.util.ArrayDeque;
import java.util.Queue;
import linenring.routing.StallDetector;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the interim responses (RFC 9110, 15.2) of all attempts of one request to its client, one at a time, and defers the
 * final response until they are written. Only the request's serialized tasks may call its methods.
 *
 * <p>Jetty allows one write at a time on a stream and fails a second one with {@code WritePendingException}. While a client
 * does not read, the write of an interim response takes as long as the client's pause.
 */
final class InterimResponses {
    private final ProxiedRequest request;
    private final Stream clientStream;
    private final StallDetector stallDetector;
    private final int maxWaitingBytes;
    private final Queue<MetaData.Response> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private boolean isWriting;
    private Runnable finalResponse; // null until a final response has begun

    /** Creates the writer of a request's interim responses; those beyond {@code maxWaitingBytes} are left out. */
    InterimResponses(ProxiedRequest request, int maxWaitingBytes) {
        this.request = request;
        this.maxWaitingBytes = maxWaitingBytes;
        clientStream = request.clientStream();
        stallDetector = request.stallDetector();
    }

    /**
     * Writes an interim response, or queues it behind the one that is being written. Leaves out 101, which HTTP/2 does not
     * support (RFC 9113, 8.6), headers that the client does not accept, and what arrives after the final response.
     */
    void forward(MetaData.Response head) {
        boolean isAccepted = HeaderListSize.isAccepted(clientStream.getSession(), head);
        if (head.getStatus() == HttpStatus.SWITCHING_PROTOCOLS_101 || !isAccepted || finalResponse != null) {
            return;
        }
        if (!isWriting) {
            write(head);
            return;
        }
        long bytes = HeaderListSize.bytes(head);
        if (waitingBytes + bytes <= maxWaitingBytes) {
            waitingBytes += bytes;
            waiting.add(head);
        }
    }

    private void write(MetaData.Response head) {
        isWriting = true;
        clientStream.headers(
                new HeadersFrame(clientStream.getId(), head, null, false),
                Callback.from(
                        () -> request.execute(this::written),
                        failure -> request.execute(() -> request.clientWriteFailed(failure))));
    }

    private void written() {
        isWriting = false;
        MetaData.Response next = waiting.poll();
        if (request.hasEnded()) {
            return;
        }
        if (next != null) {
            waitingBytes -= HeaderListSize.bytes(next);
            write(next);
        } else if (finalResponse != null) {
            finalResponse.run();
        }
    }

    /** Whether a final response has begun, or waits for interim ones. */
    boolean hasFinalResponse() {
        return finalResponse != null;
    }

    /**
     * Runs the task that begins the final response, at once or when the interim responses are written. The client's time for
     * accepting data begins now; the task is dropped if the request ends first.
     */
    void runAfterwards(Runnable task) {
        finalResponse = task;
        if (!isWriting) {
            task.run();
        } else {
            stallDetector.clientWriteStarted(System.nanoTime());
        }
    }
}
