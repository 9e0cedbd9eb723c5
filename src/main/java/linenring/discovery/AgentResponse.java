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
 * The agent's answer, as it arrives: a whole list as one body, or a watch's lines, each a list, changes, or blank where
 * nothing has changed. Hands each of them to the applier at its end. For the selector's thread alone, but for the outcome,
 * which is read after the last byte.
 */
final class AgentResponse implements HttpParser.ResponseHandler {
    /** The reason where the peer closed the connection before its answer was complete. */
    static final String ENDED_BY_PEER = "ended by its peer";

    private static final int CHUNK_BYTES = 16 * 1024;

    /**
     * Bytes alone are no sign that the agent works, as a line could drip for hours: discovery counts what it has to deliver
     * as known after this time, so a line has to be complete by then.
     */
    private static final long LINE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** The number of entries that are progress like a complete line: a long list may take longer than a line may. */
    private static final int ENTRIES_PER_PROGRESS = 1000;

    private final EndpointListApplier applier;
    private final EndpointSource source;
    private final boolean isWholeList;
    private final HttpParser parser = new HttpParser(this);
    private final byte[] bytes = new byte[CHUNK_BYTES];
    private HostListStream list; // of the line being read; null until it has more than blanks
    private long revisionAtBegin; // what was held when that line began
    private int entriesCounted; // of that line, as far as they counted as progress
    private long lastProgressNanos;
    private int status;
    private AttemptEnd.Stage stage = AttemptEnd.Stage.CONNECTED;
    private String fault; // null while there is none
    private boolean isComplete;

    AgentResponse(EndpointListApplier applier, EndpointSource source, boolean isWholeList) {
        this.applier = applier;
        this.source = source;
        this.isWholeList = isWholeList;
        lastProgressNanos = applier.nowNanos();
    }

    void requested() {
        stage = AttemptEnd.Stage.REQUEST_SENT;
    }

    /** Takes bytes that have arrived. */
    void parse(ByteBuffer arrived) {
        while (arrived.hasRemaining() && !isDone()) {
            parser.parseNext(arrived);
        }
        if (applier.nowNanos() - lastProgressNanos > LINE_TIMEOUT_NANOS && !isDone()) {
            fault = "no line has come to its end for " + TimeUnit.NANOSECONDS.toMillis(LINE_TIMEOUT_NANOS) + " ms";
        }
    }

    /** The peer has closed the connection. */
    void parseAtEnd(ByteBuffer empty) {
        parser.atEOF();
        parser.parseNext(empty);
    }

    /** Whether nothing further is read: the answer is complete, or at fault. */
    boolean isDone() {
        return fault != null || isComplete;
    }

    Optional<String> fault() {
        return Optional.ofNullable(fault);
    }

    AttemptEnd.Stage stage() {
        return stage;
    }

    /** Whether the whole list was requested and has come as it should. */
    boolean hasDeliveredWholeList() {
        return isWholeList && isComplete && fault == null && stage == AttemptEnd.Stage.DATA_RECEIVED;
    }

    @Override
    public void startResponse(HttpVersion version, int responseStatus, String reason) {
        status = responseStatus;
        stage = AttemptEnd.Stage.RESPONSE_STARTED;
    }

    @Override
    public void parsedHeader(HttpField field) {
        // none matters
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
                int count = Math.min(content.remaining(), bytes.length);
                content.get(bytes, 0, count);
                if (isWholeList) {
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
            if (bytes[i] == '\n') {
                readLine(from, i);
                lineComplete();
                from = i + 1;
            }
        }
        readLine(from, count);
    }

    /** Reads on in the line. */
    private void readLine(int from, int end) throws AttemptAbortedException {
        int start = from;
        while (list == null && start < end && isBlank(bytes[start])) {
            start++;
        }
        if (start == end) {
            return;
        }
        if (list == null) {
            list = applier.beginList(source);
            revisionAtBegin = applier.revision();
            entriesCounted = 0;
        }
        list.feed(bytes, start, end);
        if (list.result().orElse(null) instanceof DecodeResult.Failed<HostList> failed) {
            throw unreadable(failed.error());
        }
        if (list.entriesRead() - entriesCounted >= ENTRIES_PER_PROGRESS) {
            entriesCounted = list.entriesRead();
            lastProgressNanos = applier.nowNanos();
        }
    }

    private boolean isBlank(byte octet) {
        return octet == ' ' || octet == '\r' || octet == '\t' || (isWholeList && octet == '\n');
    }

    private AttemptAbortedException unreadable(DecodeError error) {
        return error.stage() == DecodeError.Stage.SIZE
                ? applier.listTooLarge(source, error.reason())
                : new AttemptAbortedException("can't be read, " + error);
    }

    private void lineComplete() throws AttemptAbortedException {
        lastProgressNanos = applier.nowNanos();
        if (list == null) {
            stage = AttemptEnd.Stage.DATA_RECEIVED; // word that nothing has changed
            applier.onUnchanged(source);
        } else {
            listComplete();
        }
    }

    private void listComplete() throws AttemptAbortedException {
        DecodeResult<HostList> read = list.end();
        list.close();
        list = null;
        if (read instanceof DecodeResult.Failed<HostList> failed) {
            throw unreadable(failed.error());
        }
        applier.onList(source, read.orElseThrow(), revisionAtBegin);
        stage = AttemptEnd.Stage.DATA_RECEIVED;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        try {
            if (list != null && fault == null) {
                lineComplete();
            }
        } catch (AttemptAbortedException aborted) {
            fault = aborted.getMessage();
        }
        isComplete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        fault = fault == null ? ENDED_BY_PEER : fault;
    }

    @Override
    public void badMessage(HttpException failure) {
        fault = "no HTTP answer: " + failure.getReason();
    }
}
