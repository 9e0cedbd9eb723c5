package linenring.discovery;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import linenring.protocol.DecodeError;
import linenring.protocol.DecodeResult;
import linenring.protocol.HostList;
import linenring.protocol.HostListStream;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Parses a discovery agent's response as its bytes arrive. A response is either one complete list, or the lines of a watch:
 * a complete list, a delta, or a blank line where nothing has changed. Passes each complete line to the applier. Used by the
 * selector's thread only; other threads may read the outcome after the last byte.
 */
final class AgentResponse implements HttpParser.ResponseHandler {
    /** Reason for the end of an attempt whose peer closed the connection before its response was complete. */
    static final String CLOSED_BY_PEER = "connection closed by the agent before the end of its response";

    private static final int CHUNK_BYTES = 16 * 1024;

    /**
     * Longest time without a complete line. Single bytes do not prove that the agent works, since a line could take hours to
     * arrive. Discovery assumes that a change has reached its watchers after 6 s, so a line has to be complete by then.
     */
    private static final long LINE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** Number of list entries that count as progress like a complete line: a long list may take longer than the limit. */
    private static final int ENTRIES_PER_PROGRESS = 1000;

    private final EndpointListApplier applier;
    private final EndpointSource source;
    private final boolean isForCompleteList;
    private final HttpParser parser = new HttpParser(this);
    private final byte[] chunk = new byte[CHUNK_BYTES];
    private HostListStream
            listStream; // decoder of the current line; null until the line has a character that is not blank
    private long revisionAtStart; // revision of the current list when this line began
    private int entriesAtLastProgress; // entries of this line that have been counted as progress
    private long lastProgressNanos;
    private int status;
    private AttemptEnd.Stage stage = AttemptEnd.Stage.CONNECTED;
    private String fault; // null unless the response is invalid
    private boolean isComplete;

    AgentResponse(EndpointListApplier applier, EndpointSource source, boolean isForCompleteList) {
        this.applier = applier;
        this.source = source;
        this.isForCompleteList = isForCompleteList;
        lastProgressNanos = applier.nowNanos();
    }

    void requestSent() {
        stage = AttemptEnd.Stage.REQUEST_SENT;
    }

    /** Parses bytes that have arrived. */
    void parse(ByteBuffer arrived) {
        while (arrived.hasRemaining() && !isDone()) {
            parser.parseNext(arrived);
        }
        if (applier.nowNanos() - lastProgressNanos > LINE_TIMEOUT_NANOS && !isDone()) {
            fault = "no line was completed for " + TimeUnit.NANOSECONDS.toMillis(LINE_TIMEOUT_NANOS) + " ms";
        }
    }

    /** Completes parsing after the peer has closed the connection. */
    void parseAtEnd(ByteBuffer emptyBuffer) {
        parser.atEOF();
        parser.parseNext(emptyBuffer);
    }

    /** Whether the response is complete or invalid, so that no further bytes are read. */
    boolean isDone() {
        return fault != null || isComplete;
    }

    Optional<String> fault() {
        return Optional.ofNullable(fault);
    }

    AttemptEnd.Stage stage() {
        return stage;
    }

    /** Whether a complete list was requested and has been received and accepted. */
    boolean hasDeliveredCompleteList() {
        return isForCompleteList && isComplete && fault == null && stage == AttemptEnd.Stage.DATA_RECEIVED;
    }

    @Override
    public void startResponse(HttpVersion version, int responseStatus, String reason) {
        status = responseStatus;
        stage = AttemptEnd.Stage.RESPONSE_STARTED;
    }

    @Override
    public void parsedHeader(HttpField field) {
        // no response header is used
    }

    @Override
    public boolean headerComplete() {
        if (status != HttpStatus.OK_200) {
            fault = "status " + status;
        }
        return fault != null;
    }

    @Override
    public boolean content(ByteBuffer content) {
        try {
            while (content.hasRemaining() && fault == null) {
                int count = Math.min(content.remaining(), chunk.length);
                content.get(chunk, 0, count);
                if (isForCompleteList) {
                    readLine(0, count);
                } else {
                    readLines(count);
                }
            }
        } catch (AttemptAbortedException aborted) {
            fault = aborted.getMessage();
        }
        return fault != null;
    }

    private void readLines(int count) throws AttemptAbortedException {
        int from = 0;
        for (int i = 0; i < count; i++) {
            if (chunk[i] == '\n') {
                readLine(from, i);
                onLineComplete();
                from = i + 1;
            }
        }
        readLine(from, count);
    }

    /** Decodes further bytes of the current line. */
    private void readLine(int from, int end) throws AttemptAbortedException {
        int start = from;
        while (listStream == null && start < end && isBlank(chunk[start])) {
            start++;
        }
        if (start == end) {
            return;
        }
        if (listStream == null) {
            listStream = applier.beginList(source);
            revisionAtStart = applier.revision();
            entriesAtLastProgress = 0;
        }
        listStream.feed(chunk, start, end);
        if (listStream.result().orElse(null) instanceof DecodeResult.Failed<HostList> failed) {
            throw abortForUnreadableList(failed.error());
        }
        if (listStream.entriesRead() - entriesAtLastProgress >= ENTRIES_PER_PROGRESS) {
            entriesAtLastProgress = listStream.entriesRead();
            lastProgressNanos = applier.nowNanos();
        }
    }

    private boolean isBlank(byte octet) {
        return octet == ' ' || octet == '\r' || octet == '\t' || (isForCompleteList && octet == '\n');
    }

    private AttemptAbortedException abortForUnreadableList(DecodeError error) {
        return error.stage() == DecodeError.Stage.SIZE
                ? applier.abortForTooLargeList(source, error.reason())
                : new AttemptAbortedException("response cannot be decoded: " + error);
    }

    private void onLineComplete() throws AttemptAbortedException {
        lastProgressNanos = applier.nowNanos();
        if (listStream == null) {
            stage = AttemptEnd.Stage.DATA_RECEIVED; // a blank line: nothing has changed
            applier.onUnchanged(source);
        } else {
            onListComplete();
        }
    }

    private void onListComplete() throws AttemptAbortedException {
        DecodeResult<HostList> read = listStream.end();
        listStream.close();
        listStream = null;
        if (read instanceof DecodeResult.Failed<HostList> failed) {
            throw abortForUnreadableList(failed.error());
        }
        applier.onList(source, read.orElseThrow(), revisionAtStart);
        stage = AttemptEnd.Stage.DATA_RECEIVED;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        try {
            if (listStream != null && fault == null) {
                onLineComplete();
            }
        } catch (AttemptAbortedException aborted) {
            fault = aborted.getMessage();
        }
        isComplete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        fault = fault == null ? CLOSED_BY_PEER : fault;
    }

    @Override
    public void badMessage(HttpException failure) {
        fault = "response is not valid HTTP: " + failure.getReason();
    }
}
