package linenring.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
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
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;
import linenring.protocol.InboundMessage;
import linenring.routing.HostRegistry;
import linenring.settings.Names;
import linenring.testserver.LoadClient;
import linenring.testserver.TestBackend;
import org.eclipse.jetty.http2.client.HTTP2Client;

/** A front, stand-in nodes of zones a and b by turns, and a steward that orders what the story says. */
final class GatewayFixture implements AutoCloseable, EventQueue.EventHandler {
    static final Names NAMES = new Names(List.of("a", "b"), List.of("std"), List.of("quote", "book", "assign"), 4, 4);
    static final String PLAN = """
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
                %s
            }
            """;

    final List<TestBackend> nodes = new ArrayList<>();
    final List<LoadClient> callers = new ArrayList<>();
    final EventQueue exchange = new EventQueue();
    final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    final List<InboundMessage> heard = Collections.synchronizedList(new ArrayList<>());
    final Http2Gateway front;
    private volatile ProxyStream stream;
    private int mark;

    GatewayFixture(int nodes) throws IOException {
        this(nodes, "");
    }

    /** With further lines of settings. */
    GatewayFixture(int count, String more) throws IOException {
        this(count, more, HTTP2Client::new);
    }

    /** With a client of the test's making towards the nodes. */
    GatewayFixture(int count, String more, Supplier<HTTP2Client> clientFactory) throws IOException {
        for (int h = 0; h < count; h++) {
            nodes.add(new TestBackend());
        }
        GatewaySettings plan = SettingsText.plan(String.format(PLAN, more), NAMES);
        HostRegistry book = new HostRegistry();
        book.apply(list());
        exchange.addHostListListener(book::apply);
        Log log = new Log(new PrintStream(logged, true));
        Http2Gateway.Opened opened =
                Http2Gateway.open(plan, Measure.SHARE, book, exchange, null, true, log, clientFactory);
        if (opened.front() == null) {
            throw new IOException(opened.fault());
        }
        front = opened.front();
        exchange.drainTo(this);
        all(RetryPolicy.ONE_IF_NOT_EXECUTED);
    }

    HostList list() {
        return new HostList(
                1,
                true,
                IntStream.range(0, nodes.size())
                        .mapToObj(h -> new HostList.Entry(
                                "s-" + h,
                                h % 2,
                                0,
                                HostList.State.READY,
                                1,
                                0,
                                nodes.get(h).address(),
                                -1))
                        .toList());
    }

    /** All nodes with equal weight, and this way to try again, in force when it returns. */
    void all(RetryPolicy tries) {
        table(IntStream.range(0, nodes.size()).toArray(), 1, tries);
    }

    void table(int[] hosts, double level, RetryPolicy tries) {
        order(new ConfigurationUpdate.Part(
                List.of(),
                true,
                IntStream.of(hosts)
                        .mapToObj(h -> new ConfigurationUpdate.TableEntry("s-" + h, 1))
                        .toList(),
                new ConfigurationUpdate.AdmissionPolicy(level, tries.ordinal()),
                List.of(),
                List.of(),
                ++mark));
    }

    void ejected(String... words) {
        order(new ConfigurationUpdate.Part(List.of(), false, List.of(), null, List.of(words), List.of(), ++mark));
    }

    private void order(ConfigurationUpdate.Part part) {
        stream.write(new ConfigurationUpdate(List.of(part)));
        int asked = mark;
        LoadClient.awaiting(
                this,
                () -> {
                    exchange.drainTo(this);
                    return heard.stream()
                            .anyMatch(a -> a instanceof InboundMessage.Acknowledgement done && done.nonce() == asked);
                },
                "mark " + asked + " is answered");
    }

    LoadClient caller(int... settings) throws IOException {
        LoadClient c = new LoadClient(front.port(), settings);
        callers.add(c);
        return c;
    }

    int ran(String path) {
        return nodes.stream().mapToInt(n -> n.ran(path)).sum();
    }

    int marked(String word) {
        return nodes.stream().mapToInt(n -> n.marked(word)).sum();
    }

    @Override
    public void onMessage(ProxyStream from, InboundMessage what) {
        if (what instanceof InboundMessage.Subscribe) {
            stream = from;
        }
        heard.add(what);
    }

    @Override
    public void onStreamClosed(ProxyStream which) {
        stream = null;
    }

    @Override
    public void onHostList(HostList list) {
        // the front hears of it by itself
    }

    @Override
    public void close() throws IOException {
        for (LoadClient c : callers) {
            c.close();
        }
        front.close();
        for (TestBackend n : nodes) {
            n.close();
        }
    }
}
