package linenring.controller;

import static linenring.controller.ChannelModel.MAX_MESSAGES;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The planner estimates the number of entries queued in the channel to the proxies, which it cannot observe. With a wrong estimate
 * the channel's limit is exceeded and messages are lost, or drains arrive too late. These tests check the limits and the arrival of
 * drains in a model of the channel.
 */
class ChannelLimitsTest {
    private static final double STARTED_LONG_AGO = Double.NEGATIVE_INFINITY;
    private static final double ARRIVAL_SLACK_MS = 300;

    /** In random order, proxies join, disconnect and stop acknowledging, hosts drain, and the channel slows down. */
    @ParameterizedTest(name = "seed {0}, {1} proxies, {2} hosts")
    @CsvSource({"1, 60, 30", "2, 300, 100", "3, 300, 100", "4, 300, 100", "5, 120, 200", "6, 1024, 60"})
    void keepsQueueAndMessageLimitsUnderRandomEvents(int seed, int proxies, int hosts) {
        double limit = 22.0 * proxies + 200;
        ChannelModel channel = applyRandomEvents(seed, proxies, hosts, limit);
        assertTrue(
                channel.maxQueuedEntries() <= limit,
                channel.maxQueuedEntries() + " entries queued, the limit is " + limit);
        assertTrue(
                channel.maxMessagesInPeriod() <= MAX_MESSAGES,
                channel.maxMessagesInPeriod() + " messages to one proxy exceed the limit");
        assertTrue(
                channel.acknowledgementCount() > proxies && channel.maxQueuedEntries() > 0.1 * limit,
                "expected many acknowledgements and queued entries, found " + channel.acknowledgementCount() + " and "
                        + channel.maxQueuedEntries());
    }

    /**
     * The channel's limit counts all entries written since the oldest message that is not yet sent. A message that is sent early, in
     * the place of lost messages, still counts until the older messages are sent.
     */
    @ParameterizedTest(name = "seed {0}, {1} proxies, {2} hosts")
    @CsvSource({"1, 60, 30", "2, 300, 100", "3, 300, 100", "4, 300, 100", "5, 120, 200"})
    void countsEntriesInWriteOrderWhenLostMessagesFreeTheirPlace(int seed, int proxies, int hosts) {
        double limit = 22.0 * proxies + 200;
        ChannelModel channel = applyRandomEvents(seed, proxies, hosts, limit);
        assertTrue(
                channel.maxCountedEntries() <= limit,
                channel.maxCountedEntries() + " entries counted, the limit is " + limit);
    }

    private static ChannelModel applyRandomEvents(int seed, int proxies, int hosts, double limit) {
        ChannelModel channel = new ChannelModel(2, limit, 16_000, MAX_MESSAGES, proxies);
        Random random = new Random(seed);
        channel.listHosts(hosts, STARTED_LONG_AGO);
        int nextHost = hosts;
        for (int round = 0; round < 900; round++) { // the run takes 45 s of modelled time
            channel.beginRound();
            channel.setSlowdown(round % 300 < 200 ? 1 : 3); // the planner is not notified of the slowdown
            boolean isMassJoin = round < 10 || round % 250 < 10;
            double joinChance = isMassJoin ? 0.3 : 0.01;
            double endChance = round % 200 == 150 ? 0.7 : 0.003;
            for (int proxy = 0; proxy < proxies; proxy++) {
                applyRandomEvent(channel, proxy, joinChance, endChance, random);
            }
            if (round % 40 == 20) {
                replaceTenth(channel, hosts, nextHost);
                nextHost += hosts / 10;
            }
            channel.endRound();
        }
        return channel;
    }

    private static void applyRandomEvent(
            ChannelModel channel, int proxy, double joinChance, double endChance, Random random) {
        boolean isConnected = channel.isConnected(proxy);
        if (isConnected && random.nextDouble() < endChance) {
            channel.disconnect(proxy);
        } else if (random.nextDouble() < (isConnected ? 0.0005 : joinChance)) {
            // Some proxies reconnect before the planner sees the end of their old stream.
            channel.connect(proxy, random.nextInt(3) == 0, 1 + proxy % 5);
        } else if (isConnected && random.nextDouble() < 0.001) {
            channel.toggleSilence(proxy);
        }
    }

    /** Drains the oldest tenth of the hosts and adds the same number of new hosts. */
    private static void replaceTenth(ChannelModel channel, int hosts, int nextHost) {
        channel.beginChanges();
        for (int number = 0; number < hosts / 10; number++) {
            channel.drain(nextHost - hosts + number);
            channel.ready(nextHost + number, channel.nowMs());
        }
        channel.endChanges();
    }

    /**
     * A rolling release adds half as many new hosts, whose slow start uses up the queue room for ordinary entries; then old hosts
     * drain.
     */
    @ParameterizedTest(name = "grace {0} ms")
    @ValueSource(doubles = {2000, 1500})
    void drainsBehindOrdinaryEntriesOfADeepQueueArriveWithinTheGrace(double graceMs) {
        ChannelModel channel = new ChannelModel(1, 14_100, graceMs, MAX_MESSAGES, 160);
        channel.listHosts(60, STARTED_LONG_AGO);
        channel.connectAll(0, 160, true);
        Map<String, Double> announcedAtMs = new TreeMap<>();
        for (int round = 0; round < 700; round++) { // the run takes 35 s of modelled time
            channel.beginRound();
            channel.beginChanges();
            if (round == 400) {
                IntStream.range(60, 90).forEach(number -> channel.ready(number, channel.nowMs()));
            } else if (round > 400 && round % 20 == 10) {
                int first = round / 20 * 3 - 60;
                IntStream.range(first, first + 3).forEach(number -> drain(channel, number, announcedAtMs));
            }
            channel.endChanges();
            channel.endRound();
        }
        assertEjectedWithinGrace(channel, announcedAtMs, graceMs);
        assertTrue(announcedAtMs.size() > 10);
    }

    /**
     * A release announces its draining hosts one by one. A separate message to each proxy for each host would exceed the message limit.
     */
    @Test
    void drainsAnnouncedOneByOneKeepTheGraceUnderTheMessageLimit() {
        double graceMs = 2000;
        int maxMessages = 20;
        ChannelModel channel = new ChannelModel(1, 14_100, graceMs, maxMessages, 20);
        channel.listHosts(90, STARTED_LONG_AGO);
        channel.connectAll(0, 20, true);
        Map<String, Double> announcedAtMs = new TreeMap<>();
        for (int round = 0; round < 700; round++) { // the run takes 35 s of modelled time
            channel.beginRound();
            channel.beginChanges();
            if (round > 400 && round % 5 == 0 && announcedAtMs.size() < 50) { // list changes may arrive every 250 ms
                drain(channel, announcedAtMs.size(), announcedAtMs);
            }
            channel.endChanges();
            channel.endRound();
        }
        assertTrue(
                channel.maxMessagesInPeriod() <= maxMessages,
                channel.maxMessagesInPeriod() + " messages to one proxy exceed the limit");
        assertEjectedWithinGrace(channel, announcedAtMs, graceMs);
    }

    /**
     * Half of the proxies join first and are each assigned half of the hosts. Once the other proxies have joined, subsets of that size
     * exceed what the channel can send. Three in ten hosts are replaced, and again three seconds later, while other hosts fail. The
     * subsets must not have grown to all hosts by then, or the ejections alone would take most of the drain grace.
     */
    @Test
    void drainsArriveWithinTheGraceAfterMoreProxiesJoinThanSubsetsWereSizedFor() {
        double graceMs = 5400;
        int hosts = 200;
        int replaced = 60;
        ChannelModel channel = new ChannelModel(1, 5300, graceMs, MAX_MESSAGES, 56);
        channel.listHosts(hosts, STARTED_LONG_AGO);
        channel.connectAll(0, 30, true);
        Map<String, Double> announcedAtMs = new TreeMap<>();
        int nextHost = hosts;
        for (int round = 0; round < 700; round++) { // the run takes 35 s of modelled time
            channel.beginRound();
            if (round == 20) {
                channel.connectAll(30, 56, true);
            }
            channel.beginChanges();
            if (round == 360 || round == 420) {
                IntStream.range(nextHost, nextHost + replaced)
                        .forEach(number -> channel.ready(number, channel.nowMs()));
                nextHost += replaced;
            } else if (round == 400 || round == 460) {
                IntStream.range(nextHost - hosts - replaced, nextHost - hosts)
                        .forEach(number -> drain(channel, number, announcedAtMs));
            }
            channel.endChanges();
            if (round >= 380 && round < 460 && round % 5 == 0) {
                failTenth(channel, round / 5 % 10, nextHost);
            }
            channel.endRound();
        }
        assertTrue(
                channel.maxQueuedEntries() > 3000,
                "the channel was not busy: at most this many entries were queued: " + channel.maxQueuedEntries());
        assertEquals(2 * replaced, announcedAtMs.size());
        assertEjectedWithinGrace(channel, announcedAtMs, graceMs);
    }

    private static void failTenth(ChannelModel channel, int first, int hosts) {
        for (int number = first; number < hosts; number += 10) {
            channel.report(number, 10, 500);
        }
    }

    private static void drain(ChannelModel channel, int number, Map<String, Double> announcedAtMs) {
        channel.drain(number);
        announcedAtMs.put("s-" + number, channel.nowMs());
    }

    private static void assertEjectedWithinGrace(
            ChannelModel channel, Map<String, Double> announcedAtMs, double graceMs) {
        announcedAtMs.forEach((host, time) -> {
            double elapsedMs = channel.ejectedAtMs(host) - time;
            assertTrue(
                    elapsedMs <= graceMs + ARRIVAL_SLACK_MS,
                    "drain of " + host + " reached the last proxy " + elapsedMs + " ms after its announcement");
        });
    }

    /**
     * In a fleet that has just started, most requests fail, and the planner reduces the weights of all hosts at once. Each of these
     * entries also carries a restoration of its host, since the previous controller may have ejected the host.
     */
    @Test
    void countsRestorationsSentToProxiesFromAnotherController() {
        int hosts = 50;
        double limit = 22.0 * 240; // sized for 240 proxies, most of which are connected to other controllers
        ChannelModel channel = new ChannelModel(1, limit, 16_000, MAX_MESSAGES, 49);
        channel.listHosts(hosts, channel.nowMs());
        channel.connectAll(0, 49, false);
        for (int round = 0; round < 400; round++) { // the run takes 20 s of modelled time
            channel.beginRound();
            if (round == 81) { // entries of the previous slow start step are still queued in this round
                IntStream.range(0, hosts).forEach(number -> channel.report(number, 8, 100));
            }
            channel.endRound();
        }
        assertTrue(
                channel.maxQueuedEntries() <= limit,
                channel.maxQueuedEntries() + " entries queued, the limit is " + limit);
        assertTrue(
                channel.maxQueuedEntries() > 0.7 * limit,
                "the weights were not reduced at once; most entries queued: " + channel.maxQueuedEntries());
    }

    /**
     * Proxies report the elapsed time of an update in their acknowledgements. An impossibly long time must not keep lost entries, which
     * are never acknowledged, in the count of queued entries for longer than the slowest channel would take.
     */
    @Test
    void acknowledgementWithAnImpossibleTimeDoesNotKeepLostEntriesCounted() {
        double limit = 700;
        int proxies = 60;
        ChannelModel channel = new ChannelModel(1, limit, 16_000, MAX_MESSAGES, proxies);
        channel.listHosts(60, STARTED_LONG_AGO);
        channel.connectAll(0, proxies, false);
        channel.endRound();
        int firstTableCount = channel.queuedMessageCount();
        channel.acknowledgeOldest(1e12);
        IntStream.range(0, proxies).forEach(channel::disconnect);
        channel.advance(5 * limit / ChannelModel.ENTRIES_PER_MS + 3 * ChannelModel.TRANSIT_MS + 200);
        channel.connectAll(0, proxies, false);
        channel.endRound();
        assertTrue(firstTableCount < proxies, "expected a full queue, but all proxies were sent a table");
        assertTrue(
                channel.queuedMessageCount() > firstTableCount / 3,
                channel.queuedMessageCount() + " proxies were sent a table after the reconnect, " + firstTableCount
                        + " before it");
    }
}
