package linenring.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import linenring.event.ProxyStream;
import linenring.log.Log;
import linenring.planner.Planner;
import linenring.planner.PlannerSettings;
import linenring.protocol.ConfigurationUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The decisions and the real books against a channel that is reckoned by itself: one message after the other at its own
 * pace, what is lost with a stream makes way for what comes later, and answers come late or never.
 */
class ChannelAccountTest {
    private static final int HEAD = 5, CAP = 30; // a head of four lines and the mark
    private static final double PACE = 1.2, TRANSIT = 150;

    /** A message in the channel. */
    private record Sent(Line to, double lines, double leaves, int mark, double at) {}

    /** One proxy's stream. */
    private final class Line implements ProxyStream {
        final int proxy;
        boolean open = true, mute;

        Line(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public void write(ConfigurationUpdate order) {
            double lines = HEAD + order.entryCount();
            freeAt = Math.max(now, freeAt) + lines / (PACE / slower);
            order.parts().forEach(part -> part.ejected().forEach(h -> shutAt.merge(h, freeAt + TRANSIT, Math::max)));
            Sent sent = new Sent(
                    this,
                    lines,
                    freeAt,
                    order.parts().get(order.parts().size() - 1).nonce(),
                    now);
            channel.add(sent);
            inOrder.add(sent);
            written.get(proxy).removeIf(at -> at <= now - 10_000);
            written.get(proxy).add(now);
            mostWritten = Math.max(mostWritten, written.get(proxy).size());
            mostWaiting = Math.max(
                    mostWaiting, channel.stream().mapToDouble(Sent::lines).sum());
            mostCounted = Math.max(mostCounted, countedInOrder());
        }

        @Override
        public void close(String why) {
            ends(this);
        }
    }

    private final List<Sent> channel = new ArrayList<>(), travelling = new ArrayList<>();
    private final List<ArrayDeque<Double>> written = new ArrayList<>();
    private final List<Line> lines = new ArrayList<>();
    private final Map<String, Double> shutAt = new TreeMap<>(); // by host: when the last proxy hears that it is out
    private final ArrayDeque<Sent> inOrder = new ArrayDeque<>(); // as written, from the first that has not left
    private double now = 1_000_000, freeAt, slower = 1, mostWaiting, mostCounted;
    private int mostWritten, answered;

    private static PlannerSettings figures(int operations, double limit, double grace) {
        return figures(operations, limit, grace, CAP);
    }

    private static PlannerSettings figures(int operations, double limit, double grace, int cap) {
        return new PlannerSettings(
                IntStream.rangeClosed(1, operations)
                        .mapToObj(value -> new PlannerSettings.Operation(1000, value, -1, -1, false, 3))
                        .toList(),
                new PlannerSettings.ColdStart(0.2, 18_000),
                new PlannerSettings.Channel(1000 * PACE, 4, limit, cap, 10_000, TRANSIT, 3 * TRANSIT, grace),
                new PlannerSettings.Shards(0, false, 0, 0),
                PlannerSettings.Measure.SHARE,
                false,
                0,
                false,
                6);
    }

    private void ends(Line line) {
        line.open = false;
        freeAt -= channel.stream()
                        .filter(s -> s.to() == line)
                        .mapToDouble(Sent::lines)
                        .sum()
                / (PACE / slower);
        channel.removeIf(s -> s.to() == line);
    }

    /** The lines from the first message on that has not left; what overtakes it in the room of lost ones counts until then. */
    private double countedInOrder() {
        while (!inOrder.isEmpty()
                && (!inOrder.peek().to().open || inOrder.peek().leaves() <= now)) {
            inOrder.poll();
        }
        return inOrder.stream()
                .filter(s -> s.to().open)
                .mapToDouble(Sent::lines)
                .sum();
    }

    @ParameterizedTest(name = "seed {0}, {1} proxies, {2} hosts")
    @CsvSource({"1, 60, 30", "2, 300, 100", "3, 300, 100", "4, 300, 100", "5, 120, 200", "6, 1024, 60"})
    void noOrderOfJoinsBreaksSilencesDrainsAndSlownessFillsTheQueueOrTheCap(int seed, int proxies, int hosts) {
        double limit = 22.0 * proxies + 200;
        playJoinsBreaksSilencesDrainsAndSlowness(seed, proxies, hosts, limit);
        assertTrue(mostWaiting <= limit, mostWaiting + " lines waited of " + limit);
        assertTrue(mostWritten <= CAP, mostWritten + " messages to one proxy of " + CAP);
        assertTrue(
                answered > proxies && mostWaiting > 0.1 * limit, "something went on: " + answered + ", " + mostWaiting);
    }

    /** The channel counts in the order of writing: what has overtaken an older message counts until that one has left. */
    @ParameterizedTest(name = "seed {0}, {1} proxies, {2} hosts")
    @CsvSource({"1, 60, 30", "2, 300, 100", "3, 300, 100", "4, 300, 100", "5, 120, 200"})
    void linesThatOvertakeOlderOnesInTheRoomOfLostOnesAreReckonedWith(int seed, int proxies, int hosts) {
        double limit = 22.0 * proxies + 200;
        playJoinsBreaksSilencesDrainsAndSlowness(seed, proxies, hosts, limit);
        assertTrue(mostCounted <= limit, mostCounted + " lines counted of " + limit);
    }

    private void playJoinsBreaksSilencesDrainsAndSlowness(int seed, int proxies, int hosts, double limit) {
        PlannerSettings figures = figures(2, limit, 16_000);
        FleetState fleetState = new FleetState(
                List.of("quote", "book"), proxies, new Log(new PrintStream(OutputStream.nullOutputStream())));
        Planner planner = new Planner(figures, fleetState);
        Random chance = new Random(seed);
        IntStream.range(0, proxies).forEach(p -> {
            lines.add(null);
            written.add(new ArrayDeque<>());
        });
        planner.advanceClock(now);
        planner.beginHostList(true);
        IntStream.range(0, hosts)
                .forEach(h -> planner.hostReady(
                        fleetState.hostIds().assign("s-" + h), h % 3, 0, 1, Double.NEGATIVE_INFINITY));
        planner.endHostList();
        int next = hosts;
        for (int round = 0; round < 900; round++) { // 45 s
            now += 50;
            planner.advanceClock(now);
            deliver(fleetState, planner);
            slower = round % 300 < 200 ? 1 : 3; // the channel is slowed at times, and nobody tells
            double joins = round < 10 || round % 250 < 10 ? 0.3 : 0.01, ends = round % 200 == 150 ? 0.7 : 0.003;
            for (int p = 0; p < proxies; p++) {
                Line line = lines.get(p);
                boolean is = line != null && line.open;
                if (is && chance.nextDouble() < ends) {
                    ends(line);
                    fleetState.disconnect(p);
                    planner.proxyDisconnected(p);
                } else if (chance.nextDouble() < (is ? 0.0005 : joins)) { // some before their old end is seen
                    lines.set(p, new Line(p));
                    fleetState.connect(p, lines.get(p), chance.nextInt(3) == 0);
                    planner.proxyJoined(p, p % 3, 1 + p % 5);
                } else if (is && chance.nextDouble() < 0.001) {
                    line.mute = !line.mute;
                }
            }
            if (round % 40 == 20) { // a tenth drains and as many come
                planner.beginHostList(false);
                for (int h = 0; h < hosts / 10; h++) {
                    planner.hostDraining(next - hosts + h, (next - hosts + h) % 3, 0, 1);
                    planner.hostReady(fleetState.hostIds().assign("s-" + (next + h)), (next + h) % 3, 0, 1, now);
                }
                next += hosts / 10;
                planner.endHostList();
            }
            planner.reconcile();
            fleetState.send();
        }
    }

    @ParameterizedTest(name = "grace {0} ms")
    @ValueSource(doubles = {2000, 1500})
    void drainsBehindTheOrdinaryLinesOfADeepQueueArriveWithinTheGrace(double grace) {
        PlannerSettings figures = figures(1, 14_100, grace);
        FleetState fleetState =
                new FleetState(List.of("quote"), 160, new Log(new PrintStream(OutputStream.nullOutputStream())));
        Planner planner = new Planner(figures, fleetState);
        begin(fleetState, planner, 60, Double.NEGATIVE_INFINITY, 160, true);
        Map<String, Double> told = new TreeMap<>();
        for (int round = 0; round < 700; round++) { // 35 s
            now += 50;
            planner.advanceClock(now);
            deliver(fleetState, planner);
            planner.beginHostList(false);
            if (round == 400) { // a release: half as many come, and their ramp fills what ordinary lines may
                IntStream.range(60, 90)
                        .forEach(h -> planner.hostReady(fleetState.hostIds().assign("s-" + h), h % 3, 0, 1, now));
            } else if (round > 400 && round % 20 == 10) {
                for (int h = round / 20 * 3 - 60; h < round / 20 * 3 - 57; h++) {
                    planner.hostDraining(h, h % 3, 0, 1);
                    told.put("s-" + h, now);
                }
            }
            planner.endHostList();
            planner.reconcile();
            fleetState.send();
        }
        told.forEach((host, at) -> assertTrue(
                shutAt.get(host) - at <= grace + 300,
                host + " is out " + (shutAt.get(host) - at) + " ms after the word"));
        assertTrue(told.size() > 10);
    }

    /** A release whose hosts are told of one by one; one message to each proxy for each word would pass the cap. */
    @Test
    void drainsThatAreToldOfOneByOneKeepTheirGraceUnderTheCapOfMessages() {
        double grace = 2000;
        int cap = 20;
        FleetState fleetState =
                new FleetState(List.of("quote"), 20, new Log(new PrintStream(OutputStream.nullOutputStream())));
        Planner planner = new Planner(figures(1, 14_100, grace, cap), fleetState);
        begin(fleetState, planner, 90, Double.NEGATIVE_INFINITY, 20, true);
        Map<String, Double> told = new TreeMap<>();
        for (int round = 0; round < 700; round++) { // 35 s
            now += 50;
            planner.advanceClock(now);
            deliver(fleetState, planner);
            planner.beginHostList(false);
            if (round > 400 && round % 5 == 0 && told.size() < 50) { // each 250 ms, as the list's changes may come
                planner.hostDraining(told.size(), told.size() % 3, 0, 1);
                told.put("s-" + told.size(), now);
            }
            planner.endHostList();
            planner.reconcile();
            fleetState.send();
        }
        assertTrue(mostWritten <= cap, mostWritten + " messages to one proxy of " + cap);
        told.forEach((host, at) -> assertTrue(
                shutAt.getOrDefault(host, Double.POSITIVE_INFINITY) - at <= grace + 300,
                host + " is out " + (shutAt.get(host) - at) + " ms after the word"));
    }

    /**
     * Half of the proxies join first, so that half of the hosts is dealt to each; with the others here, that would be over what
     * the channel can send. Three in ten hosts are replaced, and again three seconds later, while hosts fail in turn: each
     * proxy must not hold all hosts by then, or the withdrawals alone take most of the grace.
     */
    @Test
    void drainsArriveWithinTheGraceWhereMoreProxiesJoinThanTheTablesWereDealtFor() {
        double grace = 5400;
        int proxies = 56, first = 30, hosts = 200, replaced = 60;
        FleetState fleetState =
                new FleetState(List.of("quote"), proxies, new Log(new PrintStream(OutputStream.nullOutputStream())));
        Planner planner = new Planner(figures(1, 5300, grace), fleetState);
        begin(fleetState, planner, hosts, Double.NEGATIVE_INFINITY, first, true);
        Map<String, Double> told = new TreeMap<>();
        int next = hosts;
        for (int round = 0; round < 700; round++) { // 35 s
            now += 50;
            planner.advanceClock(now);
            deliver(fleetState, planner);
            if (round == 20) {
                join(fleetState, planner, proxies, true);
            }
            planner.beginHostList(false);
            if (round == 360 || round == 420) {
                for (int h = 0; h < replaced; h++, next++) {
                    planner.hostReady(fleetState.hostIds().assign("s-" + next), next % 3, 0, 1, now);
                }
            } else if (round == 400 || round == 460) {
                for (int h = next - hosts - replaced; h < next - hosts; h++) {
                    planner.hostDraining(h, h % 3, 0, 1);
                    told.put("s-" + h, now);
                }
            }
            planner.endHostList();
            if (round >= 380 && round < 460 && round % 5 == 0) { // a tenth of the hosts fails, each time another
                for (int h = round / 5 % 10; h < next; h += 10) {
                    planner.hostStatistics(h, h % 3, 10, 10, 500, 1000);
                }
            }
            planner.reconcile();
            fleetState.send();
        }
        assertTrue(mostWaiting > 3000, "the channel was busy: " + mostWaiting);
        assertEquals(2 * replaced, told.size());
        told.forEach((host, at) -> assertTrue(
                shutAt.getOrDefault(host, Double.POSITIVE_INFINITY) - at <= grace + 300,
                host + " is out " + (shutAt.get(host) - at) + " ms after the word"));
    }

    /**
     * Most tries fail at a fleet that has just started, and the weights of all its hosts are cut at once. Each line lets its
     * host back too, which the steward that was in charge before may have shut out there.
     */
    @Test
    void linesToProxiesThatOthersWereInChargeOfAreReckonedWithAllThatTheyBring() {
        int count = 49, hosts = 50;
        double limit = 22.0 * 240; // most of its proxies are with others
        FleetState fleetState =
                new FleetState(List.of("quote"), count, new Log(new PrintStream(OutputStream.nullOutputStream())));
        Planner planner = new Planner(figures(1, limit, 16_000), fleetState);
        begin(fleetState, planner, hosts, now, count, false);
        for (int round = 0; round < 400; round++) { // 20 s
            now += 50;
            planner.advanceClock(now);
            deliver(fleetState, planner);
            if (round == 81) { // while the step of the ramp before it waits still
                IntStream.range(0, hosts).forEach(h -> planner.hostStatistics(h, h % 3, 10, 8, 100, 1000));
            }
            planner.reconcile();
            fleetState.send();
        }
        assertTrue(mostWaiting <= limit, mostWaiting + " lines waited of " + limit);
        assertTrue(mostWaiting > 0.7 * limit, "the cut came in one: " + mostWaiting);
    }

    /** Answers are the proxies' word: a spoilt time must not keep lines in the account that nobody will ever answer. */
    @Test
    void anAnswerOfAnAbsurdTimeKeepsLostLinesNoLongerThanTheSlowestChannel() {
        double limit = 700;
        int proxies = 60;
        FleetState fleetState =
                new FleetState(List.of("quote"), proxies, new Log(new PrintStream(OutputStream.nullOutputStream())));
        Planner planner = new Planner(figures(1, limit, 16_000), fleetState);
        begin(fleetState, planner, 60, Double.NEGATIVE_INFINITY, proxies, false);
        planner.reconcile();
        fleetState.send();
        int fits = channel.size();
        Sent first = channel.get(0);
        planner.messageAcknowledged(first.to().proxy, first.mark(), 1e12);
        for (int p = 0; p < proxies; p++) {
            ends(lines.get(p));
            fleetState.disconnect(p);
            planner.proxyDisconnected(p);
        }
        now += 5 * limit / PACE + 3 * TRANSIT + 200;
        planner.advanceClock(now);
        for (int p = 0; p < proxies; p++) {
            fleetState.connect(p, new Line(p), false);
            planner.proxyJoined(p, p % 3, 1);
        }
        planner.reconcile();
        fleetState.send();
        assertTrue(fits < proxies, "the queue is full");
        assertTrue(channel.size() > fits / 3, channel.size() + " get a table, " + fits + " did at first");
    }

    /** So many hosts are listed, started then, and so many proxies join; not fresh: from another steward. */
    private void begin(FleetState fleetState, Planner planner, int hosts, double started, int proxies, boolean fresh) {
        planner.advanceClock(now);
        planner.beginHostList(true);
        IntStream.range(0, hosts)
                .forEach(h -> planner.hostReady(fleetState.hostIds().assign("s-" + h), h % 3, 0, 1, started));
        planner.endHostList();
        join(fleetState, planner, proxies, fresh);
    }

    /** More proxies join, until there are so many. */
    private void join(FleetState fleetState, Planner planner, int proxies, boolean fresh) {
        for (int p = lines.size(); p < proxies; p++) {
            lines.add(new Line(p));
            written.add(new ArrayDeque<>());
            fleetState.connect(p, lines.get(p), fresh);
            planner.proxyJoined(p, p % 3, 1);
        }
    }

    private void deliver(FleetState fleetState, Planner planner) {
        channel.removeIf(s -> s.leaves() <= now && travelling.add(s));
        List<Sent> there =
                travelling.stream().filter(s -> s.leaves() + TRANSIT <= now).toList();
        travelling.removeAll(there);
        for (Sent s : there) {
            if (s.to().open && !s.to().mute && fleetState.isCurrent(s.to().proxy, s.to())) {
                planner.messageAcknowledged(s.to().proxy, s.mark(), now - s.at());
                answered++;
            }
        }
    }
}
