package linenring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/** Stand-ins for the agent that tests of the watch have in common: on a socket, and as bytes that are handed in. */
final class AgentFixture {
    static final String OK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private AgentFixture() {}

    /** Notes what is put off and does none of it. */
    static final class Waits extends AbstractLifeCycle implements Scheduler {
        final List<Long> ms = new ArrayList<>();

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            ms.add(unit.toMillis(delay));
            return () -> true;
        }
    }

    static final class Agent extends ByteArrayEndPoint {
        final AgentConnection connection;

        Agent(HostWatch watch, String target, boolean once) {
            this(watch, watch.serving(), target, once);
        }

        Agent(HostWatch watch, Source source, String target, boolean once) {
            super(new Waits(), 0);
            setGrowOutput(true);
            connection = new AgentConnection(this, Runnable::run, watch, source, target, once);
            setConnection(connection);
            connection.onOpen();
        }

        /** Bytes that have arrived, and that the selector has not come to yet. */
        void addUnread(String bytes) {
            addInputAndExecute(bytes);
        }

        /** Only what is added unread is handed to it. */
        @Override
        protected void execute(Runnable task) {
            // not run: nobody is told that bytes are there
        }
    }

    static String list(long version, boolean whole, String state) {
        return "{\"version\":" + version + ",\"full\":" + whole
                + ",\"servers\":[{\"id\":\"s-1\",\"zone\":\"a\",\"kind\":\"m1\"," + "\"state\":\"" + state + "\"}]}\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static ServerSocket agent() throws Exception {
        return AgentSocket.listen();
    }

    static InetSocketAddress at(ServerSocket agent) {
        return new InetSocketAddress(agent.getInetAddress(), agent.getLocalPort());
    }

    static void answer(ServerSocket agent, String request, String answer) throws Exception {
        try (Socket socket = asked(agent, request)) {
            say(socket, answer);
        }
    }

    static Socket asked(ServerSocket agent, String request) throws Exception {
        Socket socket = agent.accept();
        socket.setSoTimeout(20_000);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals(request, in.readLine());
        while (!in.readLine().isEmpty()) {
            // headers
        }
        return socket;
    }

    static void say(Socket socket, String words) throws Exception {
        socket.getOutputStream().write(words.getBytes(StandardCharsets.US_ASCII));
    }
}
