import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import linenring.testserver.Frame;
import linenring.testserver.FrameConnection;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/** A host on loopback that speaks HTTP/2 and answers each request some time after its end; it notes each arrival. */
public final class H2Host {
    /** Decides how many ms after its end a request is answered; below 0: never. */
    public interface Delay {
        long ms(String path, String key);
    }

    private final Rig rig;
    private final String name;
    private final int maxStreams;
    private final Delay delay;
    private final ServerSocket server;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> daemon(task));
    public final Map<String, Double> arrivals = new ConcurrentHashMap<>(); // ms by key
    public final AtomicInteger requests = new AtomicInteger();
    public volatile String body = "";

    public H2Host(Rig rig, String name, int maxStreams, Delay delay) throws IOException {
        this.rig = rig;
        this.name = name;
        this.maxStreams = maxStreams;
        this.delay = delay;
        server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept).start();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serve(socket)).start();
            }
        } catch (IOException closed) {
            // the host has ended
        }
    }

    private void serve(Socket socket) {
        Set<Integer> open = ConcurrentHashMap.newKeySet();
        Map<Integer, String[]> requestsByStream = new ConcurrentHashMap<>();
        try (socket) {
            socket.getInputStream().readNBytes(FrameConnection.preface().length);
            FrameConnection frames = new FrameConnection(socket);
            frames.sendSettings(Frame.MAX_CONCURRENT_STREAMS, maxStreams);
            for (Frame frame = frames.read(); frame != null; frame = frames.read()) {
                switch (frame.type()) {
                    case Frame.SETTINGS, Frame.PING -> frames.acknowledge(frame);
                    case Frame.RST_STREAM -> {
                        open.remove(frame.stream());
                        String[] request = requestsByStream.get(frame.stream());
                        rig.note(name + " gets a reset of " + (request == null ? "?" : request[1]));
                    }
                    case Frame.DATA -> {
                        int length = frame.payload().length;
                        if (length > 0) {
                            frames.sendWindowUpdate(0, length);
                        }
                        if (frame.hasFlag(Frame.END_STREAM)) {
                            end(frames, frame.stream(), requestsByStream, open);
                        }
                    }
                    case Frame.HEADERS -> {
                        MetaData head = frames.decode(frame);
                        if (head instanceof MetaData.Request request) {
                            String key = String.valueOf(request.getHttpFields().get("x-mark"));
                            requests.incrementAndGet();
                            arrivals.put(key, rig.ms());
                            rig.note(name + " gets " + request.getHttpURI().getPath() + " " + key);
                            open.add(frame.stream());
                            requestsByStream.put(
                                    frame.stream(), new String[] {request.getHttpURI().getPath(), key});
                        }
                        if (frame.hasFlag(Frame.END_STREAM)) {
                            end(frames, frame.stream(), requestsByStream, open);
                        }
                    }
                    default -> {}
                }
            }
        } catch (IOException | RuntimeException closed) {
            // the gateway has closed the connection
        }
    }

    private void end(FrameConnection frames, int stream, Map<Integer, String[]> requests, Set<Integer> open) {
        String[] request = requests.get(stream);
        long ms = delay.ms(request[0], request[1]);
        if (ms < 0) {
            return;
        }
        timer.schedule(
                () -> {
                    try {
                        if (open.remove(stream)) {
                            rig.note(name + " answers " + request[1]);
                            byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
                            synchronized (frames) {
                                frames.sendHeaders(
                                        stream,
                                        FrameConnection.responseHead(
                                                200, HttpFields.build().put("x-host", name)),
                                        bytes.length == 0);
                                if (bytes.length > 0) {
                                    frames.sendFrame(Frame.DATA, Frame.END_STREAM, stream, bytes);
                                }
                            }
                        }
                    } catch (IOException closed) {
                        // the gateway has closed the connection
                    }
                },
                ms,
                TimeUnit.MILLISECONDS);
    }
}
