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

/** A discovery agent on a loopback socket, whose messages the test reads and writes itself. */
public final class AgentSocket {
    public static final int WAIT_SECONDS = 20;

    private AgentSocket() {}

    /** Opens an agent that listens on a free port. */
    public static ServerSocket listen() throws IOException {
        ServerSocket agent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        agent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return agent;
    }

    /** Returns the address at which the agent listens. */
    public static InetSocketAddress address(ServerSocket agent) {
        return new InetSocketAddress(agent.getInetAddress(), agent.getLocalPort());
    }

    /** Accepts a watch request, which has to name this version. */
    public static Socket accept(ServerSocket agent, long fromVersion) throws IOException {
        return accept(agent, "GET /catalog/members?watch=1&from=" + fromVersion + " HTTP/1.1");
    }

    /** Accepts a request for the complete list. */
    static Socket acceptCompleteListRequest(ServerSocket agent) throws IOException {
        return accept(agent, "GET /catalog/members HTTP/1.1");
    }

    private static Socket accept(ServerSocket agent, String requestLine) throws IOException {
        Socket socket = agent.accept();
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals(requestLine, reader.readLine());
        while (!reader.readLine().isEmpty()) {
            // skips the request headers
        }
        return socket;
    }

    /** Sends the text without framing. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
