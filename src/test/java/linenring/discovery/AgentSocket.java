package linenring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A stand-in for the agent's end of a watch, on a loopback socket that a test reads and writes itself. */
public final class AgentSocket {
    public static final int WAIT_SECONDS = 20;

    private AgentSocket() {}

    public static ServerSocket listen() throws IOException {
        ServerSocket agent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return agent;
    }

    public static InetSocketAddress address(ServerSocket agent) {
        return new InetSocketAddress(agent.getInetAddress(), agent.getLocalPort());
    }

    /** Accepts the watch, which has to ask for changes from this version. */
    public static Socket accept(ServerSocket agent, long fromVersion) throws IOException {
        Socket socket = agent.accept();
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals("GET /catalog/members?watch=1&from=" + fromVersion + " HTTP/1.1", in.readLine());
        while (!in.readLine().isEmpty()) {
            // request headers
        }
        return socket;
    }

    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
