package linenring.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import linenring.planner.PlannerSettings.Measure;
import linenring.protocol.ConfigurationUpdate;
import linenring.protocol.HostList;

/** Hosts s-0, s-1, ... in zones 0 and 1 by turns, three operations, tables as a steward orders them. */
final class Fixture {
    static final Limits QUOTE = new Limits("quote", Idempotence.IDEMPOTENT, Limits.Group.ALL, 0, 750, 2000);
    static final Limits BOOK = new Limits("book", Idempotence.FINGERPRINTED, Limits.Group.ZONE, 2500, 1200, 4000);
    static final Limits ASSIGN = new Limits("assign", Idempotence.SIDE_EFFECTING, Limits.Group.ALL, 0, 750, 2000);
    static final List<Limits> ALL = List.of(QUOTE, BOOK, ASSIGN);

    final HostRegistry hosts = new HostRegistry();
    final Tables tables;
    final Random chance = new Random(7);
    RetryBudget budget = new RetryBudget(1, 100, 10_000);

    Fixture(int count) {
        this(count, Measure.SHARE);
    }

    Fixture(int count, Measure measure) {
        List<HostList.Entry> entries = new ArrayList<>();
        for (int h = 0; h < count; h++) {
            entries.add(new HostList.Entry(
                    "s-" + h, h % 2, 0, HostList.State.READY, 1, 0, "127.0.0.1:" + (1000 + h), h / 2));
        }
        hosts.listed(new HostList(1, true, entries));
        tables = new Tables(ALL.stream().map(Limits::operation).toList(), hosts, measure, 3, 5000);
    }

    static ConfigurationUpdate.Line line(int host, double weight) {
        return new ConfigurationUpdate.Line("s-" + host, weight);
    }

    static ConfigurationUpdate.Part part(
            List<String> operations,
            boolean whole,
            ConfigurationUpdate.Level level,
            ConfigurationUpdate.Line... lines) {
        return new ConfigurationUpdate.Part(
                operations, whole, Arrays.asList(lines), level, List.of(), List.of(), ConfigurationUpdate.NO_MARK);
    }

    static ConfigurationUpdate ejected(List<String> out, List<String> back, int mark) {
        return new ConfigurationUpdate(
                List.of(new ConfigurationUpdate.Part(List.of(), false, List.of(), null, out, back, mark)));
    }

    Fixture whole(int count, ConfigurationUpdate.Level level) {
        ConfigurationUpdate.Line[] lines =
                IntStream.range(0, count).mapToObj(h -> line(h, 1)).toArray(ConfigurationUpdate.Line[]::new);
        tables.apply(new ConfigurationUpdate(List.of(part(List.of(), true, level, lines))));
        return this;
    }

    RetryDecision tries(Limits terms, boolean marked, double now) {
        return new RetryDecision(
                new RetryDecision.Terrain(tables, hosts, budget, 1.2, chance::nextDouble),
                ALL.indexOf(terms),
                terms,
                marked,
                now);
    }

    static int sentTo(RetryDecision.Step step) {
        return step instanceof RetryDecision.Step.Send s ? s.host() : -1;
    }
}
