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

/** The catalogue's agent on loopback: HTTP/1.1, whole lists and watches, each change encoded once for all watchers. */
public final class CatalogueServer implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("GET /catalog/members\\?watch=1&from=(\\d+) HTTP/1\\.1");
    private static final Pattern LIST = Pattern.compile("GET /catalog/members HTTP/1\\.1");
    private static final byte[] WATCH_HEAD = head("Transfer-Encoding: chunked");
    private static final byte[] BLANK = CatalogueJson.chunk(new byte[] {'\n'});
    private static final long BLANK_EVERY_NS = 2_000_000_000L; // the protocol's
    private static final long TICK_MS = 100;
    private static final int REQUEST_BYTES_MOST = 16 * 1024;

    private final Catalogue catalogue;
    private final CatalogueAnswers answers;
    private final SocketLoop loop;
    private final Set<Watcher> watchers = new LinkedHashSet<>(); // on the loop's thread
    private final LongAdder linesOut = new LongAdder();
    private final LongAdder watchesOpened = new LongAdder();
    private volatile long[] held = {};
    private InetSocketAddress address;

    /** One connection: a request, and the watch that may come of it. */
    private final class Watcher implements SocketLink.Handler {
        private final ByteArrayOutputStream request = new ByteArrayOutputStream();
        private SocketLink link;
        private String asked; // its first line, while it is not answered
        private long version = -1; // that it holds; -1 where it does not watch
        private long toldAt;

        @Override
        public void connected(SocketLink with) {
            link = with;
            watchers.add(this);
        }

        @Override
        public void received(SocketLink with, ByteBuffer bytes) {
            byte[] got = new byte[bytes.remaining()];
            bytes.get(got);
            request.writeBytes(got);
            String text = request.toString(StandardCharsets.US_ASCII);
            if (text.contains("\r\n\r\n")) {
                asked = text.substring(0, text.indexOf("\r\n"));
                request.reset();
                answer();
            } else if (text.length() > REQUEST_BYTES_MOST) {
                link.close();
            }
        }

        void answer() {
            if (asked == null || answers.isSilent()) {
                return;
            }
            Matcher watch = WATCH.matcher(asked);
            if (watch.matches()) {
                version = Long.parseLong(watch.group(1));
                watchesOpened.increment();
                link.send(WATCH_HEAD);
                toldAt = System.nanoTime();
                catchUp();
            } else if (LIST.matcher(asked).matches()) {
                CatalogueAnswers.Body body = answers.list();
                link.send(head("Content-Length: " + body.bytes().length));
                link.send(body.bytes(), body.length());
                linesOut.increment();
                if (body.isCut()) {
                    link.closeWhenSent();
                }
            } else {
                link.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            asked = null;
        }

        /** Tells the next change by itself; where some were missed, all of them as one line. */
        void follow(CatalogueChange change) {
            if (version >= 0 && change.version() == version + 1) {
                tell(change);
            } else if (version >= 0 && change.version() > version) {
                catchUp();
            }
        }

        /** Tells all that it does not hold. */
        void catchUp() {
            CatalogueChange next = version < 0 ? null : catalogue.catchUp(version);
            if (next != null) {
                tell(next);
            }
        }

        /** Tells that nothing has changed, once that is due. */
        void tellOfNothing() {
            if (version >= 0 && !answers.isSilent() && System.nanoTime() - toldAt > BLANK_EVERY_NS) {
                send(BLANK);
            }
        }

        private void tell(CatalogueChange change) {
            version = change.version();
            send(change.chunk());
        }

        private void send(byte[] chunk) {
            toldAt = System.nanoTime();
            linesOut.increment();
            link.send(chunk);
        }

        @Override
        public void closed(SocketLink with) {
            watchers.remove(this);
        }
    }

    public CatalogueServer(Catalogue catalogue, String name) throws IOException {
        this.catalogue = catalogue;
        this.answers = new CatalogueAnswers(catalogue);
        this.loop = new SocketLoop(name, TICK_MS, this::tick);
    }

    /** Begins to listen. */
    public InetSocketAddress open() throws IOException {
        address = loop.listen(Watcher::new);
        loop.start();
        return address;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Tells this change to all watchers; it has been put into the catalogue before. */
    public void publish(CatalogueChange change) {
        loop.execute(() -> {
            if (answers.isSilent()) {
                return;
            }
            for (Watcher watcher : Set.copyOf(watchers)) {
                watcher.follow(change);
            }
            noteHeld();
        });
    }

    private void tick() {
        for (Watcher watcher : Set.copyOf(watchers)) {
            watcher.answer();
            watcher.tellOfNothing();
        }
        noteHeld();
    }

    private void noteHeld() {
        held = watchers.stream()
                .filter(w -> w.version >= 0)
                .mapToLong(w -> w.version)
                .toArray();
    }

    /** How many watchers there are that have been told that version, as of at most a tick ago. */
    public int watchersAt(long version) {
        int count = 0;
        for (long is : held) {
            count += is >= version ? 1 : 0;
        }
        return count;
    }

    // ---- faults on command

    /** While it is silent nothing is answered and nothing is told. */
    public void silent(boolean is) {
        loop.execute(() -> {
            answers.silent(is);
            if (!is) {
                Set.copyOf(watchers).forEach(Watcher::catchUp);
            }
        });
    }

    /** So many of the next whole lists are cut off within an entry. */
    public void cutNextLists(int lists) {
        answers.cutNextLists(lists);
    }

    /** In so many of the next whole lists so many entries can't be read. */
    public void spoilNextLists(int lists, int entries) {
        answers.spoilNextLists(lists, entries);
    }

    /** Ends all connections, as an agent that restarts does. */
    public void disconnectAll() {
        loop.execute(() -> Set.copyOf(watchers).forEach(w -> w.link.close()));
    }

    // ---- counts

    public long bytesIn() {
        return loop.bytesIn();
    }

    public long bytesOut() {
        return loop.bytesOut();
    }

    /** Watches that were begun; those of who dialled again count anew. */
    public long watchesOpened() {
        return watchesOpened.sum();
    }

    /** Lines told, blank ones included. */
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
