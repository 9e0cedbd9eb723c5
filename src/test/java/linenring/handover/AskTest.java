package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import linenring.handover.wire.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AskTest {
    @TempDir
    Path dir;

    /** A refusal is told at once: it is read before the asker waits for it. */
    @Test
    void anAnswerThatComesBeforeItIsWaitedForIsNotLost() throws Exception {
        try (ServerSocketChannel serves = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            serves.bind(UnixDomainSocketAddress.of(dir.resolve("s")));
            CountDownLatch read = new CountDownLatch(1);
            HandoverChannel asks =
                    new HandoverChannel(SocketChannel.open(UnixDomainSocketAddress.of(dir.resolve("s")))) {
                        @Override
                        void hear(Consumer<Wire.Said> each, Consumer<String> ended) {
                            super.hear(
                                    said -> {
                                        each.accept(said);
                                        read.countDown();
                                    },
                                    ended);
                        }

                        @Override
                        synchronized boolean say(Wire.Said what) {
                            boolean said = super.say(what);
                            try {
                                read.await(); // and only then does the asker go on
                            } catch (InterruptedException e) {
                                throw new AssertionError(e);
                            }
                            return said;
                        }
                    };
            try (HandoverChannel served = new HandoverChannel(serves.accept())) {
                served.hear(
                        said -> served.say(Wire.Said.newBuilder()
                                .setEnded(Wire.Ended.newBuilder().setWell(false).setWords("an upgrade is under way"))
                                .build()),
                        why -> {});
                Wire.Ended ended = Upgrades.ask(asks, 2000);
                assertNotNull(ended, "it was told");
                assertEquals("an upgrade is under way", ended.getWords());
            }
        }
    }
}
