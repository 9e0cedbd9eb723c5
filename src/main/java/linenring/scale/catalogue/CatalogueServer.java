package linenring.scale.catalogue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import linenring.scale.sockets.SocketLink;
import linenring.scale.sockets.SocketLoop;

/** A discovery agent on loopback: HTTP/1.1, complete lists and watches, each change encoded once for all watchers. */
public final class CatalogueServer implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("GET /catalog/members\\?watch=1&from=(\\d+) HTTP/1\\.1");
    private static final Pattern LIST = Pattern.compile("GET /catalog/members HTTP/1\\.1");
    private static final byte[] WATCH_HEAD = head("Transfer-Encoding: chunked");
    private static final byte[] BLANK_LINE = CatalogueJson.chunk(new byte[] {'\n'});
    private static final long KEEP_ALIVE_NANOS = 2_000_000_000L; // the protocol's
    private static final long TICK_MS = 100;
    private static final int MAX_REQUEST_BYTES = 16 * 1024;

    private static final long NOT_WATCHING = -1;

    private final Catalogue catalogue;
    private final CatalogueAnswers answers;
    private final SocketLoop loop;
    private final Set<Watcher> watchers = new LinkedHashSet<>(); // on the loop's thread
    private final LongAdder linesOut = new LongAdder();
    private final LongAdder watchesOpened = new LongAdder();
    private volatile long[] heldVersions = {};
    private InetSocketAddress address;

    /** One connection: a request, and the watch that may come of it. */
    private final class Watcher implements SocketLink.Handler {
        private final ByteArrayOutputStream request = new ByteArrayOutputStream();
        private SocketLink link;
        private String requestLine; // null once it is answered
        private long version = NOT_WATCHING; // the version that it holds
        private long sentAtNanos;

        @Override
        public void connected(SocketLink opened) {
            link = opened;
            watchers.add(this);
        }

        @Override
        public void received(SocketLink from, ByteBuffer bytes) {
            byte[] received = new byte[bytes.remaining()];
            bytes.get(received);
            request.writeBytes(received);
            String text = request.toString(StandardCharsets.US_ASCII);
            if (text.contains("\r\n\r\n")) {
                requestLine = text.substring(0, text.indexOf("\r\n"));
                request.reset();
                answer();
            } else if (text.length() > MAX_REQUEST_BYTES) {
                link.close();
            }
        }

        void answer() {
            if (requestLine == null || answers.isSilent()) {
                return;
            }
            Matcher watch = WATCH.matcher(requestLine);
            if (watch.matches()) {
                version = Long.parseLong(watch.group(1));
                watchesOpened.increment();
                link.send(WATCH_HEAD);
                sentAtNanos = System.nanoTime();
                catchUp();
            } else if (LIST.matcher(requestLine).matches()) {
                CatalogueAnswers.Body body = answers.list();
                link.send(head("Content-Length: " + body.bytes().length));
                link.send(body.bytes(), body.sentBytes());
                linesOut.increment();
                if (body.isCut()) {
                    link.closeWhenSent();
                }
            } else {
                link.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            requestLine = null;
        }

        /** Sends the next change by itself; if some were missed, all of them as one line. */
        void follow(CatalogueChange change) {
            if (version >= 0 && change.version() == version + 1) {
                send(change);
            } else if (version >= 0 && change.version() > version) {
                catchUp();
            }
        }

        /** Sends all that it does not hold. */
        void catchUp() {
            CatalogueChange next = version < 0 ? null : catalogue.catchUp(version);
            if (next != null) {
                send(next);
            }
        }

        /** Sends a blank line if no change was sent for a while. */
        void keepAlive() {
            if (version >= 0 && !answers.isSilent() && System.nanoTime() - sentAtNanos > KEEP_ALIVE_NANOS) {
                send(BLANK_LINE);
            }
        }

        private void send(CatalogueChange change) {
            version = change.version();
            send(change.chunk());
        }

        private void send(byte[] chunk) {
            sentAtNanos = System.nanoTime();
            linesOut.increment();
            link.send(chunk);
        }

        @Override
        public void closed(SocketLink ended) {
            watchers.remove(this);
        }
    }

    /** An agent of this catalogue; it listens once it is opened. */
    public CatalogueServer(Catalogue catalogue, String name) throws IOException {
        this.catalogue = catalogue;
        this.answers = new CatalogueAnswers(catalogue);
        this.loop = new SocketLoop(name, TICK_MS, this::tick);
    }

    /** Starts to listen; returns the address. */
    public InetSocketAddress open() throws IOException {
        address = loop.listen(Watcher::new);
        loop.start();
        return address;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Sends a change to all watchers; the catalogue must have it already. */
    public void publish(CatalogueChange change) {
        loop.execute(() -> {
            if (answers.isSilent()) {
                return;
            }
            for (Watcher watcher : Set.copyOf(watchers)) {
                watcher.follow(change);
            }
            publishHeldVersions();
        });
    }

    private void tick() {
        for (Watcher watcher : Set.copyOf(watchers)) {
            watcher.answer();
            watcher.keepAlive();
        }
        publishHeldVersions();
    }

    private void publishHeldVersions() {
        heldVersions = watchers.stream()
                .filter(watcher -> watcher.version >= 0)
                .mapToLong(watcher -> watcher.version)
                .toArray();
    }

    /** How many watchers were sent that version, as of at most a tick ago. */
    public int watchersAt(long version) {
        int count = 0;
        for (long heldVersion : heldVersions) {
            count += heldVersion >= version ? 1 : 0;
        }
        return count;
    }

    // ---- faults on command

    /** While it is silent nothing is answered and no change is sent. */
    public void setSilent(boolean silent) {
        loop.execute(() -> {
            answers.setSilent(silent);
            if (!silent) {
                Set.copyOf(watchers).forEach(Watcher::catchUp);
            }
        });
    }

    /** That many of the next complete lists are cut off within an entry. */
    public void cutNextLists(int lists) {
        answers.cutNextLists(lists);
    }

    /** In that many of the next complete lists that many entries can't be read. */
    public void corruptNextLists(int lists, int entries) {
        answers.corruptNextLists(lists, entries);
    }

    /** Closes all connections, as an agent that restarts does. */
    public void disconnectAll() {
        loop.execute(() -> Set.copyOf(watchers).forEach(watcher -> watcher.link.close()));
    }

    // ---- counts

    /** Bytes received. */
    public long bytesIn() {
        return loop.bytesIn();
    }

    /** Bytes sent. */
    public long bytesOut() {
        return loop.bytesOut();
    }

    /** Watches opened; one that is opened again counts again. */
    public long watchesOpened() {
        return watchesOpened.sum();
    }

    /** Lines sent, blank ones included. */
    public long linesOut() {
        return linesOut.sum();
    }

    private static byte[] head(String field) {
        return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + field + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() {
        loop.close();
    }
}
