package linenring.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import linenring.discovery.Ended.Reached;
import linenring.protocol.DecodeError;
import linenring.protocol.DecodeResult;
import linenring.protocol.HostList;
import linenring.protocol.HostListStream;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/** One request to discovery's agent: the whole list, or a watch that stays open. */
final class AgentConnection extends AbstractConnection implements HttpParser.ResponseHandler {
    private static final int READ = 16 * 1024;
    private static final int REQUEST_MOST = 1024; // ours has under 200
    private static final long SILENT_MS = 2500; // a blank line is due every 2 s, and half a second is for its way

    private static final long LINE_NS = 6_000_000_000L; // bytes alone are no word: what is told is due after so long
    private static final int ENTRIES_A_WORD = 1000; // so many entries are one: a list may be longer than that takes

    private final HostWatch watch;
    private final Source source;
    private final String target;
    private final boolean once;
    private final HttpParser parser = new HttpParser(this);
    private final ByteBuffer read = BufferUtil.allocate(READ);
    private final byte[] bytes = new byte[READ];
    private HostListStream list; // the line being read; null until it has more than blanks
    private long revision; // what was held when it began
    private int entriesTold; // of that line, as far as they counted as a word
    private int status;
    private long lineAt; // when the last line or so many entries of it had come to their end, be it a blank one
    private Reached reached = Reached.CONNECTED;
    private String broken;
    private boolean complete, ended;

    AgentConnection(EndPoint endPoint, Executor executor, HostWatch watch, Source source, String target, boolean once) {
        super(endPoint, executor);
        this.watch = watch;
        this.source = source;
        this.target = target;
        this.once = once;
        this.lineAt = watch.now();
        endPoint.setIdleTimeout(SILENT_MS);
    }

    @Override
    @SuppressWarnings("deprecation") // the selector asks it still, and would hand reading to another thread
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (!watch.opened(source, this)) {
            getEndPoint().close();
            return;
        }
        try {
            MetaData.Request request = new MetaData.Request(
                    "GET",
                    HttpURI.from(target),
                    HttpVersion.HTTP_1_1,
                    HttpFields.build()
                            .add(HttpHeader.HOST, source.toString())
                            .add(HttpHeader.ACCEPT, "application/json"),
                    0);
            HttpGenerator generator = new HttpGenerator();
            ByteBuffer header = BufferUtil.allocate(REQUEST_MOST);
            HttpGenerator.Result result = generator.generateRequest(request, null, null, null, true);
            if (result == HttpGenerator.Result.NEED_HEADER) {
                result = generator.generateRequest(request, header, null, null, true);
            }
            if (result != HttpGenerator.Result.FLUSH) {
                end("the request could not be written: " + result);
                return;
            }
            reached = Reached.ASKED;
            getEndPoint().write(Callback.from(() -> {}, cause -> end("reset")), header);
            fillInterested();
        } catch (IOException | RuntimeException e) {
            end("fault: " + e);
        }
    }

    @Override
    public void onFillable() {
        try {
            if (readAvailable()) {
                fillInterested();
            }
        } catch (RuntimeException e) { // no fault here reaches further than this attempt
            end("fault: " + e);
        }
    }

    /**
     * Reads what has come without waiting for more, on the selector's thread alone. True where the attempt goes on; whether
     * its endpoint is asked for further bytes is unchanged.
     */
    boolean readAvailable() {
        try {
            while (!ended) {
                BufferUtil.clear(read);
                int got = getEndPoint().fill(read);
                if (got == 0) {
                    return true;
                }
                if (got < 0) {
                    parser.atEOF();
                    parser.parseNext(read);
                    end(broken != null ? broken : "ended by its peer");
                    return false;
                }
                while (read.hasRemaining() && broken == null && !complete) {
                    parser.parseNext(read);
                }
                if (watch.now() - lineAt > LINE_NS && broken == null && !complete) {
                    broken = "no line has come to its end for " + LINE_NS / 1_000_000 + " ms";
                }
                if (broken != null || complete) {
                    end(broken != null ? broken : "the answer is complete");
                }
            }
        } catch (IOException e) {
            end("reset");
        } catch (RuntimeException e) { // no fault here reaches further than this attempt
            end("fault: " + e);
        }
        return false;
    }

    @Override
    public boolean onIdleExpired(TimeoutException timeout) {
        end("nothing came for " + SILENT_MS + " ms");
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

    private synchronized void end(String why) {
        if (ended) {
            return;
        }
        ended = true;
        getEndPoint().close();
        if (once && complete && broken == null && reached == Reached.TOLD) {
            watch.listedWhole(source);
        } else {
            watch.ended(source, new Ended(reached, why));
        }
    }

    // ---- the answer

    @Override
    public void startResponse(HttpVersion version, int answered, String reason) {
        status = answered;
        reached = Reached.ANSWERED;
    }

    @Override
    public void parsedHeader(HttpField field) {
        // none matters
    }

    @Override
    public boolean headerComplete() {
        if (status != 200) {
            broken = "status " + status;
        }
        return broken != null;
    }

    @Override
    public boolean content(ByteBuffer content) {
        while (content.hasRemaining() && broken == null) {
            int got = Math.min(content.remaining(), bytes.length);
            content.get(bytes, 0, got);
            if (once) {
                read(0, got);
            } else {
                lines(got);
            }
        }
        return broken != null;
    }

    private void lines(int got) {
        int from = 0;
        for (int i = 0; i < got && broken == null; i++) {
            if (bytes[i] == '\n') {
                read(from, i);
                from = i + 1;
                if (broken == null) {
                    lineEnds();
                }
            }
        }
        if (broken == null) {
            read(from, got);
        }
    }

    /** Reads on in the line. */
    private void read(int from, int to) {
        int start = from;
        while (list == null && start < to && isBlank(bytes[start])) {
            start++;
        }
        if (start == to) {
            return;
        }
        if (list == null) {
            list = watch.reads(source);
            revision = watch.revision();
            entriesTold = 0;
        }
        list.feed(bytes, start, to);
        DecodeResult<HostList> result = list.result().orElse(null);
        if (result instanceof DecodeResult.Failed<HostList> failed) {
            broken = unreadable(failed.error());
        } else if (list.entriesRead() - entriesTold >= ENTRIES_A_WORD) {
            entriesTold = list.entriesRead();
            lineAt = watch.now();
        }
    }

    private boolean isBlank(byte b) {
        return b == ' ' || b == '\r' || b == '\t' || once && b == '\n';
    }

    private String unreadable(DecodeError fault) {
        return fault.stage() == DecodeError.Stage.SIZE
                ? watch.tooLarge(source, fault.reason())
                : "can't be read, " + fault;
    }

    private void lineEnds() {
        lineAt = watch.now();
        if (list == null) {
            broken = watch.toldOfNoChange(source);
            reached = Reached.TOLD; // that nothing has changed
            return;
        }
        DecodeResult<HostList> read = list.end();
        letListGo();
        if (read instanceof DecodeResult.Failed<HostList> failed) {
            broken = unreadable(failed.error());
            return;
        }
        String fault = watch.told(source, read.orElseThrow(), revision);
        reached = fault == null ? Reached.TOLD : reached;
        broken = fault;
    }

    private void letListGo() {
        if (list != null) {
            list.close();
            list = null;
        }
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (list != null && broken == null) {
            lineEnds();
        }
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        broken = broken == null ? "ended by its peer" : broken;
    }

    @Override
    public void badMessage(HttpException failure) {
        broken = "no HTTP answer: " + failure.getReason();
    }
}
