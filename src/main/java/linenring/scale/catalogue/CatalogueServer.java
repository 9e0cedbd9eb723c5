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

/**
 * A discovery agent on loopback that serves complete lists and watches over HTTP/1.1. Each change is encoded once for all
 * watchers.
 */
public final class CatalogueServer implements AutoCloseable {
    private static final Pattern WATCH_REQUEST =
            Pattern.compile("GET /catalog/members\\?watch=1&from=(\\d+) HTTP/1\\.1");
    private static final Pattern LIST_REQUEST = Pattern.compile("GET /catalog/members HTTP/1\\.1");
    private static final byte[] WATCH_RESPONSE_HEAD = responseHead("Transfer-Encoding: chunked");
    private static final byte[] BLANK_LINE_CHUNK = CatalogueJson.chunk(new byte[] {'\n'});
    private static final long KEEP_ALIVE_NANOS = 2_000_000_000L; // keep-alive interval of the discovery protocol
    private static final long TICK_MS = 100;
    private static final int MAX_REQUEST_BYTES = 16 * 1024;

    private static final long NOT_WATCHING = -1;

    private final Catalogue catalogue;
    private final CatalogueResponses responses;
    private final SocketLoop loop;
    private final Set<Watcher> watchers = new LinkedHashSet<>(); // accessed only by the socket loop's thread
    private final LongAdder linesOut = new LongAdder();
    private final LongAdder watchesOpened = new LongAdder();
    private volatile long[] heldVersions = {};
    private InetSocketAddress address;

    /** One client connection; it becomes a watch if its request asks for one. */
    private final class Watcher implements SocketLink.Handler {
        private final ByteArrayOutputStream request = new ByteArrayOutputStream();
        private SocketLink link;
        private String requestLine; // null if no request waits for a response
        private long version = NOT_WATCHING; // version of the list that the watcher holds
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
                respond();
            } else if (text.length() > MAX_REQUEST_BYTES) {
                link.close();
            }
        }

        void respond() {
            if (requestLine == null || responses.isSilent()) {
                return;
            }
            Matcher watch = WATCH_REQUEST.matcher(requestLine);
            if (watch.matches()) {
                version = Long.parseLong(watch.group(1));
                watchesOpened.increment();
                link.send(WATCH_RESPONSE_HEAD);
                sentAtNanos = System.nanoTime();
                catchUp();
            } else if (LIST_REQUEST.matcher(requestLine).matches()) {
                CatalogueResponses.ResponseBody body = responses.completeList();
                link.send(responseHead("Content-Length: " + body.bytes().length));
                link.send(body.bytes(), body.sentBytes());
                linesOut.increment();
                if (body.isTruncated()) {
                    link.closeWhenSent();
                }
            } else {
                link.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            requestLine = null;
        }

        /** Sends a change; if the watcher missed earlier changes, sends all missing changes merged into one line. */
        void deliver(CatalogueChange change) {
            if (version >= 0 && change.version() == version + 1) {
                send(change);
            } else if (version >= 0 && change.version() > version) {
                catchUp();
            }
        }

        /** Sends the changes that the watcher lacks, if any. */
        void catchUp() {
            CatalogueChange next = version < 0 ? null : catalogue.catchUp(version);
            if (next != null) {
                send(next);
            }
        }

        /** Sends a blank line if nothing was sent for the keep-alive interval. */
        void keepAlive() {
            if (version >= 0 && !responses.isSilent() && System.nanoTime() - sentAtNanos > KEEP_ALIVE_NANOS) {
                send(BLANK_LINE_CHUNK);
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

    /** Creates an agent that serves the catalogue; {@link #open} starts it. */
    public CatalogueServer(Catalogue catalogue, String name) throws IOException {
        this.catalogue = catalogue;
        this.responses = new CatalogueResponses(catalogue);
        this.loop = new SocketLoop(name, TICK_MS, this::tick);
    }

    /** Starts the agent, and returns the address that it listens at. */
    public InetSocketAddress open() throws IOException {
        address = loop.listen(Watcher::new);
        loop.start();
        return address;
    }

    /** Returns the address that the agent listens at, or null before {@link #open}. */
    public InetSocketAddress address() {
        return address;
    }

    /** Sends a change, which the catalogue must already contain, to all watchers. */
    public void publish(CatalogueChange change) {
        loop.execute(() -> {
            if (responses.isSilent()) {
                return;
            }
            for (Watcher watcher : Set.copyOf(watchers)) {
                watcher.deliver(change);
            }
            publishHeldVersions();
        });
    }

    private void tick() {
        for (Watcher watcher : Set.copyOf(watchers)) {
            watcher.respond();
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

    /** Returns the number of watchers that were sent this version or a later one; may lag by one tick. */
    public int watchersAt(long version) {
        int count = 0;
        for (long heldVersion : heldVersions) {
            count += heldVersion >= version ? 1 : 0;
        }
        return count;
    }

    // ---- fault injection

    /** Makes the agent silent or responsive; a silent agent answers no request and sends no change. */
    public void setSilent(boolean silent) {
        loop.execute(() -> {
            responses.setSilent(silent);
            if (!silent) {
                Set.copyOf(watchers).forEach(Watcher::catchUp);
            }
        });
    }

    /** Truncates the next complete lists within an entry; {@code lists} is the number of lists. */
    public void cutNextLists(int lists) {
        responses.cutNextLists(lists);
    }

    /** Makes the first {@code entries} entries invalid in each of the next {@code lists} complete lists. */
    public void corruptNextLists(int lists, int entries) {
        responses.corruptNextLists(lists, entries);
    }

    /** Closes all connections, like an agent that restarts. */
    public void disconnectAll() {
        loop.execute(() -> Set.copyOf(watchers).forEach(watcher -> watcher.link.close()));
    }

    // ---- counters

    /** Returns the number of bytes received over all connections. */
    public long bytesIn() {
        return loop.bytesIn();
    }

    /** Returns the number of bytes sent over all connections. */
    public long bytesOut() {
        return loop.bytesOut();
    }

    /** Returns the number of watches opened, including watches that were opened again. */
    public long watchesOpened() {
        return watchesOpened.sum();
    }

    /** Returns the number of lines sent, including blank lines. */
    public long linesOut() {
        return linesOut.sum();
    }

    private static byte[] responseHead(String field) {
        return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + field + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() {
        loop.close();
    }
}
