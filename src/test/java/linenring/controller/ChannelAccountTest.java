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
 * The planner keeps an account of the entries that are queued in the channel to the proxies, which it cannot see. Where the account is
 * wrong, the channel's limit is passed and messages are lost, or drains come too late. Here it is held against a model of the channel.
 */
class ChannelAccountTest {
    private static final double LONG_AGO = Double.NEGATIVE_INFINITY;
    private static final double ARRIVAL_SLACK_MS = 300;

    /** Proxies join, break off and fall silent, hosts drain, and the channel is slowed, in many orders. */
    @ParameterizedTest(name = "seed {0}, {1} proxies, {2} hosts")
    @CsvSource({"1, 60, 30", "2, 300, 100", "3, 300, 100", "4, 300, 100", "5, 120, 200", "6, 1024, 60"})
    void keepsTheLimitsOfQueueAndMessagesUnderAnyOrderOfEvents(int seed, int proxies, int hosts) {
        double limit = 22.0 * proxies + 200;
        ChannelModel channel = playRandomEvents(seed, proxies, hosts, limit);
        assertTrue(channel.maxQueued() <= limit, channel.maxQueued() + " entries queued of " + limit);
        assertTrue(channel.maxWritten() <= MAX_MESSAGES, channel.maxWritten() + " messages to one proxy");
        assertTrue(
                channel.acknowledged() > proxies && channel.maxQueued() > 0.1 * limit,
                "something went on: " + channel.acknowledged() + ", " + channel.maxQueued());
    }

    /** The channel counts in the order of writing: what has overtaken an older message counts until that one has left. */
    @ParameterizedTest(name = "seed {0}, {1} proxies, {2} hosts")
    @CsvSource({"1, 60, 30", "2, 300, 100", "3, 300, 100", "4, 300, 100", "5, 120, 200"})
    void countsEntriesThatOvertakeOlderOnesInThePlaceOfLostOnes(int seed, int proxies, int hosts) {
        double limit = 22.0 * proxies + 200;
        ChannelModel channel = playRandomEvents(seed, proxies, hosts, limit);
        assertTrue(channel.maxCounted() <= limit, channel.maxCounted() + " entries counted of " + limit);
    }

    private static ChannelModel playRandomEvents(int seed, int proxies, int hosts, double limit) {
        ChannelModel channel = new ChannelModel(2, limit, 16_000, MAX_MESSAGES, proxies);
        Random random = new Random(seed);
        channel.listAll(hosts, LONG_AGO);
        int next = hosts;
        for (int round = 0; round < 900; round++) { // 45 s
            channel.beginRound();
            channel.setSlowdown(round % 300 < 200 ? 1 : 3); // nobody says so
            boolean isRush = round < 10 || round % 250 < 10;
            double joinChance = isRush ? 0.3 : 0.01;
            double endChance = round % 200 == 150 ? 0.7 : 0.003;
            for (int proxy = 0; proxy < proxies; proxy++) {
                playRandomEvent(channel, proxy, joinChance, endChance, random);
            }
            if (round % 40 == 20) {
                replaceTenth(channel, hosts, next);
                next += hosts / 10;
            }
            channel.endRound();
        }
        return channel;
    }

    private static void playRandomEvent(
            ChannelModel channel, int proxy, double joinChance, double endChance, Random random) {
        boolean isConnected = channel.isConnected(proxy);
        if (isConnected && random.nextDouble() < endChance) {
            channel.disconnect(proxy);
        } else if (random.nextDouble() < (isConnected ? 0.0005 : joinChance)) { // some before their old end is seen
            channel.connect(proxy, random.nextInt(3) == 0, 1 + proxy % 5);
        } else if (isConnected && random.nextDouble() < 0.001) {
            channel.toggleSilence(proxy);
        }
    }

    /** The oldest tenth of the hosts drains, and as many come. */
    private static void replaceTenth(ChannelModel channel, int hosts, int next) {
        channel.beginChanges();
        for (int number = 0; number < hosts / 10; number++) {
            channel.drain(next - hosts + number);
            channel.ready(next + number, channel.now());
        }
        channel.endChanges();
    }

    /** A release: half as many hosts come, and their slow start fills what ordinary entries may; then hosts drain. */
    @ParameterizedTest(name = "grace {0} ms")
    @ValueSource(doubles = {2000, 1500})
    void drainsBehindOrdinaryEntriesOfADeepQueueArriveWithinTheGrace(double graceMs) {
        ChannelModel channel = new ChannelModel(1, 14_100, graceMs, MAX_MESSAGES, 160);
        channel.listAll(60, LONG_AGO);
        channel.connectAll(0, 160, true);
        Map<String, Double> announcedAt = new TreeMap<>();
        for (int round = 0; round < 700; round++) { // 35 s
            channel.beginRound();
            channel.beginChanges();
            if (round == 400) {
                IntStream.range(60, 90).forEach(number -> channel.ready(number, channel.now()));
            } else if (round > 400 && round % 20 == 10) {
                int first = round / 20 * 3 - 60;
                IntStream.range(first, first + 3).forEach(number -> drain(channel, number, announcedAt));
            }
            channel.endChanges();
            channel.endRound();
        }
        assertEjectedWithinGrace(channel, announcedAt, graceMs);
        assertTrue(announcedAt.size() > 10);
    }

    /** A release whose hosts are announced one by one; a message to each proxy for each of them would pass the limit of messages. */
    @Test
    void drainsThatAreAnnouncedOneByOneKeepTheGraceUnderTheLimitOfMessages() {
        double graceMs = 2000;
        int maxMessages = 20;
        ChannelModel channel = new ChannelModel(1, 14_100, graceMs, maxMessages, 20);
        channel.listAll(90, LONG_AGO);
        channel.connectAll(0, 20, true);
        Map<String, Double> announcedAt = new TreeMap<>();
        for (int round = 0; round < 700; round++) { // 35 s
            channel.beginRound();
            channel.beginChanges();
            if (round > 400 && round % 5 == 0 && announcedAt.size() < 50) { // each 250 ms, as changes may come
                drain(channel, announcedAt.size(), announcedAt);
            }
            channel.endChanges();
            channel.endRound();
        }
        assertTrue(channel.maxWritten() <= maxMessages, channel.maxWritten() + " messages to one proxy");
        assertEjectedWithinGrace(channel, announcedAt, graceMs);
    }

    /**
     * Half of the proxies join first, so that each is assigned half of the hosts; with the others here, that would be over what the
     * channel can send. Three in ten hosts are replaced, and again three seconds later, while hosts fail in turn: each proxy must not
     * hold all hosts by then, or the ejections alone take most of the grace.
     */
    @Test
    void drainsArriveWithinTheGraceWhereMoreProxiesJoinThanSubsetsWereAssignedFor() {
        double graceMs = 5400;
        int hosts = 200;
        int replaced = 60;
        ChannelModel channel = new ChannelModel(1, 5300, graceMs, MAX_MESSAGES, 56);
        channel.listAll(hosts, LONG_AGO);
        channel.connectAll(0, 30, true);
        Map<String, Double> announcedAt = new TreeMap<>();
        int next = hosts;
        for (int round = 0; round < 700; round++) { // 35 s
            channel.beginRound();
            if (round == 20) {
                channel.connectAll(30, 56, true);
            }
            channel.beginChanges();
            if (round == 360 || round == 420) {
                IntStream.range(next, next + replaced).forEach(number -> channel.ready(number, channel.now()));
                next += replaced;
            } else if (round == 400 || round == 460) {
                IntStream.range(next - hosts - replaced, next - hosts)
                        .forEach(number -> drain(channel, number, announcedAt));
            }
            channel.endChanges();
            if (round >= 380 && round < 460 && round % 5 == 0) {
                failTenth(channel, round / 5 % 10, next);
            }
            channel.endRound();
        }
        assertTrue(channel.maxQueued() > 3000, "the channel was busy: " + channel.maxQueued());
        assertEquals(2 * replaced, announcedAt.size());
        assertEjectedWithinGrace(channel, announcedAt, graceMs);
    }

    private static void failTenth(ChannelModel channel, int first, int hosts) {
        for (int number = first; number < hosts; number += 10) {
            channel.report(number, 10, 500);
        }
    }

    private static void drain(ChannelModel channel, int number, Map<String, Double> announcedAt) {
        channel.drain(number);
        announcedAt.put("s-" + number, channel.now());
    }

    private static void assertEjectedWithinGrace(
            ChannelModel channel, Map<String, Double> announcedAt, double graceMs) {
        announcedAt.forEach((host, time) -> {
            double elapsedMs = channel.ejectedAt(host) - time;
            assertTrue(
                    elapsedMs <= graceMs + ARRIVAL_SLACK_MS,
                    host + " is ejected " + elapsedMs + " ms after it was announced");
        });
    }

    /**
     * Most requests fail in a fleet that has just started, and the weights of all its hosts are cut at once. Each entry restores its
     * host too, which the controller that was in charge before may have ejected there.
     */
    @Test
    void countsRestorationsWithEntriesToProxiesOfAnotherController() {
        int hosts = 50;
        double limit = 22.0 * 240; // most of its proxies are with others
        ChannelModel channel = new ChannelModel(1, limit, 16_000, MAX_MESSAGES, 49);
        channel.listAll(hosts, channel.now());
        channel.connectAll(0, 49, false);
        for (int round = 0; round < 400; round++) { // 20 s
            channel.beginRound();
            if (round == 81) { // while the step of the slow start before it is still queued
                IntStream.range(0, hosts).forEach(number -> channel.report(number, 8, 100));
            }
            channel.endRound();
        }
        assertTrue(channel.maxQueued() <= limit, channel.maxQueued() + " entries queued of " + limit);
        assertTrue(channel.maxQueued() > 0.7 * limit, "the cut came at once: " + channel.maxQueued());
    }

    /** Proxies are trusted with their times: an impossible one must not keep entries counted that nobody will ever acknowledge. */
    @Test
    void acknowledgementWithAnImpossibleTimeKeepsLostEntriesNoLongerThanTheSlowestChannel() {
        double limit = 700;
        int proxies = 60;
        ChannelModel channel = new ChannelModel(1, limit, 16_000, MAX_MESSAGES, proxies);
        channel.listAll(60, LONG_AGO);
        channel.connectAll(0, proxies, false);
        channel.endRound();
        int fits = channel.queuedMessages();
        channel.acknowledgeFirst(1e12);
        IntStream.range(0, proxies).forEach(channel::disconnect);
        channel.skip(5 * limit / ChannelModel.ENTRIES_PER_MS + 3 * ChannelModel.TRANSIT_MS + 200);
        channel.connectAll(0, proxies, false);
        channel.endRound();
        assertTrue(fits < proxies, "the queue is full");
        assertTrue(
                channel.queuedMessages() > fits / 3,
                channel.queuedMessages() + " get a table, " + fits + " did at first");
    }
}
