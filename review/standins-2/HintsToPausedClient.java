import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;
import linenring.testserver.Frame;
import linenring.testserver.FrameConnection;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/** The network between a client and the gateway pauses for 1.5 s, while hosts send 103 and then 200. */
public final class HintsToPausedClient {
    private static final int CALLS = 20;
    private static final int LARGE_BYTES = 24 << 20;
    private static final int WINDOW = 64 << 20;
    private static volatile boolean paused;

    private HintsToPausedClient() {}

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, HintsToPausedClient::body);
    }

    /** A host that answers /assign with 103 and at once 200, and /quote with a large body. */
    private static int host(Rig rig) throws IOException {
        ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        H2Host.daemon(() -> {
                    try {
                        while (true) {
                            Socket socket = server.accept();
                            H2Host.daemon(() -> serve(rig, socket)).start();
                        }
                    } catch (IOException closed) {
                        // the case has ended
                    }
                })
                .start();
        return server.getLocalPort();
    }

    private static void serve(Rig rig, Socket socket) {
        long[] window = {Frame.DEFAULT_WINDOW_BYTES, 0}; // of the connection, and of the large answer's stream
        int[] initial = {Frame.DEFAULT_WINDOW_BYTES};
        try (socket) {
            socket.getInputStream().readNBytes(FrameConnection.preface().length);
            FrameConnection frames = new FrameConnection(socket);
            frames.sendSettings(Frame.MAX_CONCURRENT_STREAMS, 100);
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                switch (frame.type()) {
                    case Frame.SETTINGS, Frame.PING -> {
                        if (frame.type() == Frame.SETTINGS) {
                            frame.forEachSetting((id, value) -> initial[0] =
                                    id == Frame.INITIAL_WINDOW_SIZE ? value : initial[0]);
                        }
                        frames.acknowledge(frame);
                    }
                    case Frame.WINDOW_UPDATE -> {
                        synchronized (window) {
                            window[frame.stream() == 0 ? 0 : 1] += frame.readUint31(0);
                            window.notifyAll();
                        }
                    }
                    case Frame.HEADERS -> {
                        MetaData.Request head = (MetaData.Request) frames.decode(frame);
                        String key = head.getHttpFields().get("x-mark");
                        rig.note("the host runs " + head.getHttpURI().getPath() + " " + key);
                        int stream = frame.stream();
                        if (head.getHttpURI().getPath().startsWith("/quote")) {
                            frames.sendHeaders(stream, FrameConnection.responseHead(200, HttpFields.EMPTY), false);
                            synchronized (window) {
                                window[1] = initial[0];
                            }
                            int length = key.startsWith("large") ? LARGE_BYTES : 2;
                            H2Host.daemon(() -> send(frames, stream, length, window)).start();
                        } else {
                            frames.sendHeaders(
                                    stream,
                                    FrameConnection.responseHead(103, HttpFields.build().put("link", "</a>")),
                                    false);
                            frames.sendHeaders(stream, FrameConnection.responseHead(200, HttpFields.EMPTY), true);
                        }
                    }
                    default -> {}
                }
            }
        } catch (IOException | RuntimeException closed) {
            // the gateway has closed the connection
        }
    }

    private static void send(FrameConnection frames, int stream, int length, long[] window) {
        try {
            for (int sent = 0; sent < length; ) {
                int size;
                synchronized (window) {
                    while (Math.min(window[0], window[1]) <= 0) {
                        window.wait();
                    }
                    size = (int) Math.min(Math.min(window[0], window[1]), Math.min(16384, length - sent));
                    window[0] -= size;
                    window[1] -= size;
                }
                sent += size;
                frames.sendFrame(Frame.DATA, sent == length ? Frame.END_STREAM : 0, stream, new byte[size]);
            }
        } catch (IOException | InterruptedException closed) {
            // the gateway has closed the connection
        }
    }

    /** A proxy between client and gateway, which passes nothing on to the client while it is paused. */
    private static int proxy(int gatewayPort) throws IOException {
        ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        H2Host.daemon(() -> {
                    try {
                        while (true) {
                            Socket client = server.accept();
                            Socket gateway = new Socket("127.0.0.1", gatewayPort);
                            H2Host.daemon(() -> copy(client, gateway, false)).start();
                            H2Host.daemon(() -> copy(gateway, client, true)).start();
                        }
                    } catch (IOException closed) {
                        // the case has ended
                    }
                })
                .start();
        return server.getLocalPort();
    }

    private static void copy(Socket from, Socket to, boolean mayPause) {
        byte[] bytes = new byte[16384];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                while (mayPause && paused) {
                    Rig.pause(5);
                }
                int count = in.read(bytes);
                if (count < 0) {
                    return;
                }
                out.write(bytes, 0, count);
            }
        } catch (IOException closed) {
            // one side has closed
        }
    }

    private static int body(Rig rig) throws Exception {
        Setup setup = new Setup(rig);
        for (int i = 1; i <= 3; i++) {
            setup.agent.set("s-" + i, "127.0.0.1:" + host(rig), "brussel", "small-2c", "Ready", 0);
        }
        setup.serve();
        H2Client client = new H2Client(rig, "127.0.0.1", proxy(setup.gatewayPort));
        client.windowBytes = WINDOW; // the large answer never waits for the client's window
        Rig.await(() -> client.call("GET", "/quote", "w" + rig.ms(), 3000).equals("200"), 15_000, "a first answer");
        Rig.pause(2000);
        if (rig.trouble) {
            paused = true;
            rig.note("the network passes nothing on to the client from now on");
        }
        client.send("GET", "/quote", "large");
        Rig.pause(700);
        for (int i = 0; i < CALLS; i++) {
            client.send("POST", "/assign", "a" + i);
            Rig.pause(40);
        }
        paused = false;
        rig.note("the network passes everything on");
        Rig.pause(8000); // the request timeout is 2 s, and half a second is allowed
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < CALLS; i++) {
            counts.merge(client.results.get("a" + i), 1, Integer::sum);
        }
        rig.note("results of the assigns: " + counts + "; of the large answer: " + client.results.get("large"));
        int lost = counts.getOrDefault(H2Client.OPEN, 0);
        rig.note("assigns that were run and have no final answer: " + lost + " of " + CALLS);
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
