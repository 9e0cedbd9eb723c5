package linenring.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import linenring.event.EventQueue;
import linenring.event.ProxyStream;
import linenring.gateway.settings.GatewaySettings;
import linenring.gateway.settings.SettingsText;
import linenring.log.Log;
import linenring.planner.Commands.RetryPolicy;
import linenring.planner.PlannerSettings.AdmissionUnit;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import linenring.routing.HostRegistry;
import linenring.settings.Names;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;
import org.eclipse.jetty.http2.client.HTTP2Client;

/**
 * A gateway with test backends, which are alternately in zones a and b. The test sends configuration updates in place of
 * a controller.
 */
final class GatewayFixture implements AutoCloseable, EventQueue.EventHandler {
    static final Names NAMES = new Names(List.of("a", "b"), List.of("std"), List.of("quote", "book", "assign"), 4, 4);

    private static final String SETTINGS = """
            front {
                listen "127.0.0.1:0"
                proxy id=0 zone="a"
                mark-header "x-mark"
                operation "quote" effect="idempotent" objective="500ms" timeout="4s"
                operation "book" effect="fingerprinted" group="zone" window="2.5s" objective="500ms" timeout="4s"
                operation "assign" effect="side-effecting" objective="500ms" timeout="4s"
                route "GET" "/quote" operation="quote"
                route "POST" "/quote" operation="quote"
                route "HEAD" "/quote" operation="quote"
                route "POST" "/book" operation="book"
                route "POST" "/assign" operation="assign"
                report "50ms"
                MORE_SETTINGS
            }
            """;

    /** Retry policies, at the index that identifies them in a configuration update. */
    private static final List<RetryPolicy> RETRY_POLICIES =
            List.of(RetryPolicy.NONE, RetryPolicy.ONE_IF_NOT_EXECUTED, RetryPolicy.ONE, RetryPolicy.TWO);

    private final List<TestBackend> backends = new ArrayList<>();
    private final List<TestClient> clients = new ArrayList<>();
    private final EventQueue events = new EventQueue();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<InboundMessage> messages = Collections.synchronizedList(new ArrayList<>());
    private final Http2Gateway gateway;
    private volatile ProxyStream stream;
    private int nonce;

    GatewayFixture(int backendCount) throws IOException {
        this(backendCount, "");
    }

    /** Starts a gateway with additional lines of settings. */
    GatewayFixture(int backendCount, String moreSettings) throws IOException {
        this(backendCount, moreSettings, HTTP2Client::new);
    }

    /** Starts a gateway with additional settings and with the test's HTTP/2 client for connections to the backends. */
    GatewayFixture(int backendCount, String moreSettings, Supplier<HTTP2Client> clientFactory) throws IOException {
        for (int i = 0; i < backendCount; i++) {
            backends.add(new TestBackend());
        }
        HostRegistry hosts = new HostRegistry();
        hosts.apply(hostList(1, true, HostList.State.READY, IntStream.range(0, backendCount), backends));
        events.addHostListListener(hosts::apply);
        try {
            gateway = Http2Gateway.start(
                    settings(moreSettings),
                    AdmissionUnit.SHARE,
                    hosts,
                    events,
                    ListenOptions.openSocket(),
                    new Log(new PrintStream(log, true, StandardCharsets.UTF_8)),
                    clientFactory);
        } catch (GatewayStartException failure) {
            throw new IOException(failure);
        }
        processEvents();
        sendTableOfAllHosts(RetryPolicy.ONE_IF_NOT_EXECUTED);
    }

    static GatewaySettings settings(String moreSettings) {
        return SettingsText.parse(SETTINGS.replace("MORE_SETTINGS", moreSettings), NAMES);
    }

    /** Returns a host list with host s-i at the address of backend i. */
    static HostList hostList(
            long version, boolean complete, HostList.State state, IntStream hosts, List<TestBackend> backends) {
        return new HostList(
                version,
                complete,
                hosts.mapToObj(host -> entry(host, state, backends.get(host))).toList());
    }

    private static HostList.Entry entry(int host, HostList.State state, TestBackend backend) {
        return new HostList.Entry("s-" + host, host % 2, 0, state, 1, Double.NEGATIVE_INFINITY, backend.address(), -1);
    }

    Http2Gateway gateway() {
        return gateway;
    }

    List<TestBackend> backends() {
        return backends;
    }

    /** Messages from the gateway to the controller. */
    List<InboundMessage> messages() {
        return List.copyOf(messages);
    }

    String log() {
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Sends a table of all backends with equal weights and the given retry policy, and waits until it is applied. */
    void sendTableOfAllHosts(RetryPolicy retryPolicy) {
        sendTable(IntStream.range(0, backends.size()).toArray(), 1, retryPolicy);
    }

    /** Sends a complete table with equal weights and waits until it is applied. */
    void sendTable(int[] hosts, double admissionRatio, RetryPolicy retryPolicy) {
        nonce++;
        sendUpdate(new ConfigurationUpdate.Part(
                List.of(),
                true,
                IntStream.of(hosts)
                        .mapToObj(host -> new ConfigurationUpdate.TableEntry("s-" + host, 1))
                        .toList(),
                new ConfigurationUpdate.AdmissionPolicy(admissionRatio, RETRY_POLICIES.indexOf(retryPolicy)),
                List.of(),
                List.of(),
                nonce));
    }

    /** Sends an update that ejects hosts, and waits until it is applied. */
    void sendEjections(String... hosts) {
        nonce++;
        sendUpdate(new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of(hosts), List.of(), nonce));
    }

    private void sendUpdate(ConfigurationUpdate.Part part) {
        stream.write(new ConfigurationUpdate(List.of(part)));
        TestClient.await(
                this,
                () -> {
                    processEvents();
                    return messages().stream().anyMatch(message -> isAcknowledgement(message, part.nonce()));
                },
                "update " + part.nonce() + " is acknowledged");
    }

    private static boolean isAcknowledgement(InboundMessage message, int nonce) {
        return message instanceof InboundMessage.Acknowledgement acknowledgement && acknowledgement.nonce() == nonce;
    }

    /** Receives the messages that the gateway has sent to the controller. */
    void processEvents() {
        events.drainTo(this);
    }

    /** Connects a client; {@code settings} are pairs of identifier and value. */
    TestClient connect(int... settings) throws IOException {
        TestClient client = new TestClient(gateway.port(), settings);
        clients.add(client);
        return client;
    }

    int executions(String path) {
        return backends.stream().mapToInt(backend -> backend.executions(path)).sum();
    }

    int executionsOfKey(String key) {
        return backends.stream()
                .mapToInt(backend -> backend.executionsOfKey(key))
                .sum();
    }

    /** Waits until no request is active. */
    void awaitIdle() {
        TestClient.await(this, () -> gateway.activeRequests() == 0, "no request is active");
    }

    @Override
    public void onMessage(ProxyStream from, InboundMessage message) {
        if (message instanceof InboundMessage.Subscribe) {
            stream = from;
        }
        messages.add(message);
    }

    @Override
    public void onStreamClosed(ProxyStream closedStream) {
        stream = null;
    }

    @Override
    public void onHostList(HostList list) {
        // the gateway has a host list listener of its own
    }

    @Override
    public void close() throws IOException {
        for (TestClient client : clients) {
            client.close();
        }
        gateway.close();
        for (TestBackend backend : backends) {
            backend.close();
        }
    }
}
