import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import linenring.testserver.Frame;
import linenring.testserver.FrameConnection;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/**
 * An HTTP/2 client of the gateway. It connects anew after a GOAWAY or a lost connection and sends each request once: a
 * request that got no answer is not sent again.
 */
public final class H2Client {
    public static final String OPEN = "open";

    private final class Connection {
        private final Socket socket = new Socket();
        private final FrameConnection frames;
        private final Map<Integer, String> keys = new ConcurrentHashMap<>();
        private volatile boolean usable = true;
        private int nextStream = 1;

        Connection() throws IOException {
            socket.connect(address, 1000);
            frames = new FrameConnection(socket);
            frames.sendBytes(FrameConnection.preface());
            if (windowBytes > Frame.DEFAULT_WINDOW_BYTES) {
                frames.sendSettings(Frame.INITIAL_WINDOW_SIZE, windowBytes);
                frames.sendWindowUpdate(0, windowBytes);
            } else {
                frames.sendSettings();
            }
            H2Host.daemon(this::read).start();
        }

        synchronized void send(String method, String path, String key) throws IOException {
            int stream = nextStream;
            nextStream += 2;
            keys.put(stream, key);
            HttpFields fields = HttpFields.build().put("x-mark", key);
            frames.sendHeaders(stream, FrameConnection.requestHead(method, path, fields), true);
        }

        private void read() {
            try {
                for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                    switch (frame.type()) {
                        case Frame.SETTINGS, Frame.PING -> frames.acknowledge(frame);
                        case Frame.GOAWAY -> {
                            usable = false;
                            int last = frame.readUint31(0);
                            rig.note("client gets GOAWAY, last stream " + last);
                            keys.forEach((stream, key) -> {
                                if (stream > last) {
                                    end(stream, "not processed");
                                }
                            });
                        }
                        case Frame.RST_STREAM -> end(frame.stream(), "reset " + frame.readUint31(0));
                        case Frame.HEADERS -> {
                            MetaData head = frames.decode(frame);
                            if (head instanceof MetaData.Response response && response.getStatus() >= 200) {
                                end(frame.stream(), String.valueOf(response.getStatus()));
                            }
                        }
                        case Frame.DATA -> {
                            if (frame.payload().length > 0) {
                                frames.sendWindowUpdate(0, frame.payload().length);
                            }
                        }
                        default -> {}
                    }
                }
            } catch (IOException | RuntimeException closed) {
                // the connection has ended
            }
            usable = false;
            keys.keySet().forEach(stream -> end(stream, "lost"));
        }

        private void end(int stream, String result) {
            String key = keys.remove(stream);
            if (key != null && results.replace(key, OPEN, result)) {
                rig.note("client: " + key + " ends with " + result);
            }
        }
    }

    private final Rig rig;
    private final InetSocketAddress address;
    private Connection connection;
    public volatile int windowBytes = Frame.DEFAULT_WINDOW_BYTES;
    public final Map<String, String> results = new ConcurrentHashMap<>(); // by key

    public H2Client(Rig rig, String address, int port) throws IOException {
        this.rig = rig;
        this.address = new InetSocketAddress(InetAddress.getByName(address), port);
    }

    /** Sends a request; its result is found in {@link #results} under the key. */
    public synchronized void send(String method, String path, String key) {
        results.put(key, OPEN);
        try {
            if (connection == null || !connection.usable) {
                connection = new Connection();
            }
            rig.note("client sends " + method + " " + path + " " + key);
            connection.send(method, path, key);
        } catch (IOException failure) {
            rig.note("client cannot send " + key + ": " + failure.getMessage());
            results.put(key, "unsent");
            connection = null;
        }
    }

    /** Sends a request and waits for its end, for this long at most. */
    public String call(String method, String path, String key, long maxMs) {
        send(method, path, key);
        long end = System.nanoTime() + maxMs * 1_000_000;
        while (results.get(key).equals(OPEN) && System.nanoTime() < end) {
            Rig.pause(2);
        }
        return results.get(key);
    }
}
