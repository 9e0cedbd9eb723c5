package linenring.gateway;

import java.nio.ByteBuffer;
import linenring.routing.AttemptFailure;
import linenring.routing.NextStep;
import linenring.routing.RetryDecision;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.http2.ErrorCode;
import org.eclipse.jetty.http2.api.Stream;
import org.eclipse.jetty.http2.frames.DataFrame;
import org.eclipse.jetty.http2.frames.HeadersFrame;
import org.eclipse.jetty.http2.frames.ResetFrame;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/**
 * One invocation, from the client's stream to its end: does what its {@link RetryDecision} decide. All that happens to it is
 * handled one after the other ({@link #then}); no lock is held while Jetty is called, since Jetty calls back for others.
 */
final class ProxiedRequest implements Stream.Listener {
    private static final double UNTOLD_MS = 10; // a host's reset is told within the same call

    private final Http2Gateway front;
    private final Stream client;
    private final HeadersFrame request;
    private final int operation;
    private final RetryDecision tries;
    private final RetainedBody kept;
    private final long reserved;
    private final SerializedInvoker line = new SerializedInvoker();

    private Try current; // the attempt under way, or null
    private HttpFields trailers; // of the request, told before its body is read
    private boolean requestRead; // its end was read
    private boolean over;
    private volatile long writingSince; // 0, or since when the client has not taken what it was sent
    private volatile long waitingSince; // 0, or since when the host has sent nothing more of its answer

    ProxiedRequest(
            Http2Gateway front,
            Stream client,
            HeadersFrame request,
            int operation,
            RetryDecision tries,
            RetainedBody kept,
            long reserved) {
        this.front = front;
        this.client = client;
        this.request = request;
        this.operation = operation;
        this.tries = tries;
        this.kept = kept;
        this.reserved = reserved;
        requestRead = request.isEndStream();
        kept.add(ByteBuffer.allocate(0), requestRead);
    }

    private void then(Runnable what) {
        line.run(() -> {
            try {
                what.run();
            } catch (RuntimeException e) { // no fault in one invocation reaches another
                front.fault(e);
                tries.abandon();
                breakOff(ErrorCode.INTERNAL_ERROR);
            }
        });
    }

    void begin() {
        then(() -> follow(tries.begin(front.now(), kept.isWhole())));
    }

    private void follow(NextStep step) {
        if (step instanceof NextStep.Send send) {
            current = new Try(send);
            current.begin();
        } else if (step instanceof NextStep.Reject giveUp) {
            front.count(operation, giveUp.reason());
            answer(Responses.status(giveUp.reason()), Responses.fields(giveUp));
        }
    }

    // ---- the client's side

    @Override
    public void onHeaders(Stream stream, HeadersFrame frame) {
        then(() -> {
            trailers = frame.getMetaData().getHttpFields();
            if (current != null) {
                current.pumpRequest(); // the end of the body is to be read still
            }
        });
    }

    @Override
    public void onDataAvailable(Stream stream) {
        then(() -> {
            if (current != null) {
                current.demanded = false;
                current.pumpRequest();
            }
        });
    }

    @Override
    public void onReset(Stream stream, ResetFrame frame, Callback callback) {
        then(() -> clientGone());
        callback.succeeded();
    }

    @Override
    public void onFailure(Stream stream, int error, String reason, Throwable failure, Callback callback) {
        then(() -> clientGone());
        callback.succeeded();
    }

    private void clientGone() {
        if (!over) {
            tries.abandon();
            front.clientGone(operation);
            end();
        }
    }

    /** Answers with a status of ours, at once; what the client still sends is not read. */
    private void answer(int status, HttpFields fields) {
        if (over) {
            return;
        }
        boolean stop = !requestRead;
        client.headers(
                new HeadersFrame(
                        client.getId(), new MetaData.Response(status, null, HttpVersion.HTTP_2, fields), null, true),
                Callback.from(
                        () -> {
                            if (stop) { // RFC 9113, 8.1: the answer is whole without the rest of the request
                                client.reset(new ResetFrame(client.getId(), ErrorCode.NO_ERROR.code), Callback.NOOP);
                            }
                        },
                        x -> {}));
        end();
    }

    /** Ends the client's stream where its answer can't be whole any more. */
    private void breakOff(ErrorCode why) {
        if (!over) {
            client.reset(new ResetFrame(client.getId(), why.code), Callback.NOOP);
            end();
        }
    }

    private void end() {
        if (over) {
            return;
        }
        over = true;
        writingSince = 0;
        waitingSince = 0;
        Try was = current;
        current = null;
        if (was != null) {
            was.abandon();
        }
        kept.letGo();
        front.ended(this, client, reserved);
    }

    /** Ends it if for so long (ns) its client has not taken what it was sent, or its host stops in its answer. */
    void endIfStalled(long now, long longest) {
        long writing = writingSince, waiting = waitingSince;
        if (writing != 0 && now - writing >= longest) {
            then(() -> {
                if (!over && writingSince == writing) {
                    front.stalled(operation, client);
                    breakOff(ErrorCode.ENHANCE_YOUR_CALM_ERROR);
                }
            });
        } else if (waiting != 0 && now - waiting >= longest) {
            then(() -> {
                if (!over && waitingSince == waiting) {
                    front.brokeOff(
                            operation,
                            current.host,
                            new AttemptFailure(AttemptFailure.Execution.RAN, AttemptFailure.Cause.TIMED_OUT));
                    breakOff(ErrorCode.INTERNAL_ERROR);
                }
            });
        }
    }

    // ---- one attempt

    /** One attempt at one host. */
    private final class Try implements Stream.Listener, UpstreamConnections.Wants, Promise<Stream> {
        private final int host;
        private final UpstreamConnections link;
        private final double by, until, sentAt = front.now();
        private final Scheduler.Task timer;
        private UpstreamConnections.Connection on; // null until a stream was granted
        private Stream stream; // null until the request's head was sent
        private boolean ended; // told to the tries, or nobody's business any more
        private boolean headSent, writing, demanded;
        private boolean sentAll; // of the request: its end was handed to Jetty
        private boolean answerWhole;
        private boolean begun; // its answer's head has come
        private boolean reading; // of the answer, under way
        private int sentAgain; // bytes of the kept body that went out again
        private byte[] again = {};
        private HttpFields answerTrailers;
        private boolean released;
        private volatile boolean resetByHost;
        private volatile Stream created; // null while Jetty has made no stream, and so written nothing

        Try(NextStep.Send send) {
            host = send.host();
            link = front.link(host);
            by = send.sendByMs();
            until = send.giveUpAtMs();
            timer = front.schedule(() -> then(this::timedOut), Math.max(0, until - front.now()));
        }

        void begin() {
            again = kept.bytes();
            link.want(this);
        }

        @Override
        public void granted(UpstreamConnections.Connection connection) {
            then(() -> {
                on = connection;
                if (ended) {
                    release();
                    return;
                }
                if (front.now() > by) { // it waited too long for a connection
                    release();
                    ended(new AttemptFailure(AttemptFailure.Execution.NEVER_SENT, AttemptFailure.Cause.UNREACHABLE));
                    return;
                }
                boolean nothingFollows = kept.hasEnded() && again.length == 0 && trailers == null;
                headSent = true;
                sentAll = nothingFollows;
                connection
                        .session()
                        .newStream(new HeadersFrame(request.getMetaData(), null, nothingFollows), this, this);
            });
        }

        @Override
        public void turnedAway() {
            then(() ->
                    ended(new AttemptFailure(AttemptFailure.Execution.NEVER_SENT, AttemptFailure.Cause.UNREACHABLE)));
        }

        @Override
        public void succeeded(Stream opened) {
            then(() -> {
                stream = opened;
                opened.setIdleTimeout(-1); // the tries say how long it may take
                if (ended && !begun) {
                    cancel();
                } else if (!sentAll) {
                    pumpRequest();
                }
            });
        }

        /** Before anything is written; within the call of {@code newStream}. */
        @Override
        public void onNewStream(Stream opened) {
            created = opened;
        }

        /**
         * The stream was not opened. A connection that is lost while the head is written, or closed by {@link #release},
         * may tell so here before the stream hears that it is left out by a GOAWAY.
         */
        @Override
        public void failed(Throwable x) {
            then(() -> {
                release();
                ended(
                        created == null
                                ? new AttemptFailure(AttemptFailure.Execution.NEVER_SENT, AttemptFailure.Cause.REFUSED)
                                : lost(created));
            });
        }

        // -- the request's body

        void pumpRequest() {
            if (ended && !begun || writing || stream == null || stream.isReset()) {
                return;
            }
            if (sentAgain < again.length) {
                ByteBuffer bytes = ByteBuffer.wrap(again, sentAgain, Math.min(16 << 10, again.length - sentAgain));
                sentAgain += bytes.remaining();
                boolean last = sentAgain == again.length && requestRead && trailers == null;
                write(new DataFrame(stream.getId(), bytes, last), () -> {});
            } else if (requestRead) {
                if (trailers != null) {
                    HttpFields last = trailers;
                    writing = true; // nothing follows
                    sentAll = true;
                    stream.headers(
                            new HeadersFrame(stream.getId(), new MetaData(HttpVersion.HTTP_2, last), null, true),
                            Callback.NOOP);
                }
            } else if (!demanded) {
                Stream.Data data = client.readData();
                if (data == null) {
                    demanded = true;
                    client.demand();
                    return;
                }
                DataFrame frame = data.frame();
                requestRead = frame.isEndStream();
                kept.add(frame.getByteBuffer(), requestRead);
                if (requestRead && trailers != null && !frame.getByteBuffer().hasRemaining()) {
                    data.release();
                    pumpRequest();
                } else {
                    write(
                            new DataFrame(stream.getId(), frame.getByteBuffer(), requestRead && trailers == null),
                            data::release);
                }
            }
        }

        private void write(DataFrame frame, Runnable written) {
            writing = true;
            sentAll |= frame.isEndStream();
            stream.data(
                    frame,
                    Callback.from(
                            () -> {
                                written.run();
                                then(() -> {
                                    writing = false;
                                    if (!frame.isEndStream()) {
                                        pumpRequest();
                                    }
                                });
                            },
                            x -> {
                                written.run(); // the stream's end is told elsewhere
                                then(() -> writing = false);
                            }));
        }

        // -- the answer

        @Override
        public void onHeaders(Stream from, HeadersFrame frame) {
            then(() -> {
                if (over || ended && !begun) {
                    return;
                }
                stream = from; // the answer may come before the request's head is told as sent
                if (!(frame.getMetaData() instanceof MetaData.Response head)) {
                    answerTrailers = frame.getMetaData().getHttpFields();
                    pumpAnswer();
                } else if (head.getStatus() < 200) {
                    if (head.getStatus() != 101 && !begun) {
                        client.headers(new HeadersFrame(client.getId(), head, null, false), Callback.NOOP);
                    }
                } else {
                    head(head, frame.isEndStream());
                }
            });
        }

        private void head(MetaData.Response head, boolean last) {
            boolean errored = head.getStatus() >= 500;
            front.ended(host, !errored, front.now() - sentAt);
            NextStep step = errored
                    ? tries.attemptFailed(
                            new AttemptFailure(AttemptFailure.Execution.RAN, AttemptFailure.Cause.ANSWERED_ERRORED),
                            front.now(),
                            kept.isWhole())
                    : tries.attemptSucceeded(front.now());
            ended = true;
            timer.cancel();
            if (step instanceof NextStep.Send) {
                if (!last) {
                    cancel();
                }
                follow(step);
            } else if (step instanceof NextStep.Forward) {
                begun = true;
                kept.letGo();
                front.answered(operation, errored);
                writingSince = System.nanoTime();
                client.headers(
                        new HeadersFrame(client.getId(), head, null, last),
                        Callback.from(
                                () -> then(() -> {
                                    writingSince = 0;
                                    if (last) {
                                        answerDone();
                                    } else {
                                        pumpAnswer();
                                    }
                                }),
                                x -> then(() -> clientGone())));
            }
        }

        @Override
        public void onDataAvailable(Stream from) {
            then(this::pumpAnswer);
        }

        private void pumpAnswer() {
            if (over || !begun || reading || writingSince != 0) {
                return;
            }
            Stream.Data data = stream.readData();
            waitingSince = data == null ? System.nanoTime() : 0;
            if (data == null) {
                stream.demand();
                return;
            }
            DataFrame frame = data.frame();
            boolean last = frame.isEndStream();
            if (last && answerTrailers != null && !frame.getByteBuffer().hasRemaining()) {
                data.release();
                sendTrailers();
                return;
            }
            reading = true;
            writingSince = System.nanoTime();
            client.data(
                    new DataFrame(client.getId(), frame.getByteBuffer(), last && answerTrailers == null),
                    Callback.from(
                            () -> {
                                data.release();
                                then(() -> {
                                    reading = false;
                                    writingSince = 0;
                                    if (!last) {
                                        pumpAnswer();
                                    } else if (answerTrailers != null) {
                                        sendTrailers();
                                    } else {
                                        answerDone();
                                    }
                                });
                            },
                            x -> {
                                data.release();
                                then(() -> clientGone());
                            }));
        }

        private void sendTrailers() {
            client.headers(
                    new HeadersFrame(client.getId(), new MetaData(HttpVersion.HTTP_2, answerTrailers), null, true),
                    Callback.from(() -> then(this::answerDone), x -> then(() -> clientGone())));
        }

        private void answerDone() {
            answerWhole = true;
            if (!over && !requestRead) { // the host needs no more of the request, nor do we
                client.reset(new ResetFrame(client.getId(), ErrorCode.NO_ERROR.code), Callback.NOOP);
            }
            ProxiedRequest.this.end();
        }

        // -- how it ends without one

        @Override
        public void onReset(Stream from, ResetFrame frame, Callback callback) {
            boolean refused = frame.getError() == ErrorCode.REFUSED_STREAM_ERROR.code;
            resetByHost = true;
            boolean done = frame.getError() == ErrorCode.NO_ERROR.code;
            then(() -> {
                release();
                if (!(done && begun)) { // else its answer is whole, and is being read
                    ended(
                            refused && !begun
                                    ? new AttemptFailure(
                                            AttemptFailure.Execution.NOT_PROCESSED, AttemptFailure.Cause.REFUSED)
                                    : new AttemptFailure(
                                            AttemptFailure.Execution.MAY_HAVE_RUN, AttemptFailure.Cause.RESET));
                }
            });
            callback.succeeded();
        }

        @Override
        public void onFailure(Stream from, int error, String reason, Throwable failure, Callback callback) {
            then(() -> {
                release();
                ended(lost(from));
            });
            callback.succeeded();
        }

        @Override
        public void onClosed(Stream from) {
            then(() -> {
                release();
                if (from.isReset() && !ended | begun && !over) { // by the host, which is told next; or by Jetty
                    front.schedule(() -> then(this::resetUntold), UNTOLD_MS);
                }
            });
        }

        /** How an attempt ended whose connection took its stream along. */
        private AttemptFailure lost(Stream of) {
            return on.isNotProcessed(of.getId())
                    ? new AttemptFailure(AttemptFailure.Execution.NOT_PROCESSED, AttemptFailure.Cause.GOING_AWAY)
                    : new AttemptFailure(AttemptFailure.Execution.MAY_HAVE_RUN, AttemptFailure.Cause.CONNECTION_LOST);
        }

        /** Jetty resets what is no HTTP/2 message, such as a body of another length than was said, and tells nobody. */
        private void resetUntold() {
            if (!resetByHost) {
                ended(new AttemptFailure(AttemptFailure.Execution.MAY_HAVE_RUN, AttemptFailure.Cause.RESET));
            }
        }

        private void timedOut() {
            if (!ended) {
                boolean unsent = !headSent;
                abandonStream();
                ended(new AttemptFailure(
                        unsent ? AttemptFailure.Execution.NEVER_SENT : AttemptFailure.Execution.MAY_HAVE_RUN,
                        unsent ? AttemptFailure.Cause.UNREACHABLE : AttemptFailure.Cause.TIMED_OUT));
            }
        }

        private void ended(AttemptFailure how) {
            if (begun && !over) { // the client has part of the answer
                front.brokeOff(operation, host, how);
                breakOff(ErrorCode.INTERNAL_ERROR);
                return;
            }
            if (ended) {
                return;
            }
            ended = true;
            timer.cancel();
            front.ended(host, how.cause() == AttemptFailure.Cause.GOING_AWAY, front.now() - sentAt);
            NextStep step = tries.attemptFailed(how, front.now(), kept.isWhole());
            current = null;
            follow(step);
        }

        /** Nobody waits for it any more. */
        void abandon() {
            timer.cancel();
            ended = true; // a client that left says nothing about the host
            abandonStream();
        }

        private void abandonStream() {
            if (on == null) {
                if (!link.gone(this)) {
                    ended = true; // granted or turned away by now; seen there
                }
            } else {
                cancel();
            }
        }

        private void cancel() {
            if (stream != null) {
                if (!stream.isReset() && !stream.isClosed() && !(answerWhole && sentAll)) { // else it closes by itself
                    stream.reset(new ResetFrame(stream.getId(), ErrorCode.CANCEL_STREAM_ERROR.code), Callback.NOOP);
                }
            } // it counts as running until it is closed; one that is not open yet is reset once it is
        }

        private void release() {
            if (on != null && !released) {
                released = true;
                on.done();
            }
        }
    }
}
