package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;
import linenring.handover.wire.HandoverProtocol.UpgradeOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class UpgradeClientTest {
    private static final String REFUSAL = "an upgrade is under way";

    @TempDir
    private Path directory;

    /** A channel whose request counts as sent only once the answer to it has been read. */
    private static final class AnsweredEarly extends HandoverChannel {
        private final CountDownLatch answered = new CountDownLatch(1);

        AnsweredEarly(SocketChannel channel) {
            super(channel);
        }

        @Override
        void listen(Listener listener) {
            super.listen(new Listener() {
                @Override
                public void onMessage(HandoverMessage message) {
                    listener.onMessage(message);
                    answered.countDown();
                }

                @Override
                public void onEnd(Optional<String> fault) {
                    listener.onEnd(fault);
                }
            });
        }

        @Override
        synchronized void send(HandoverMessage message) {
            super.send(message);
            try {
                answered.await(); // and only then does the requester go on
            } catch (InterruptedException interrupted) {
                throw new AssertionError(interrupted);
            }
        }
    }

    /** Refuses whatever is requested. */
    private record Refuser(HandoverChannel channel) implements HandoverChannel.Listener {
        @Override
        public void onMessage(HandoverMessage message) {
            channel.send(HandoverMessages.upgradeOutcome(false, REFUSAL));
        }

        @Override
        public void onEnd(Optional<String> fault) {
            // the requester is gone
        }
    }

    /** A refusal is sent at once: it is read before the requester waits for it. */
    @Test
    void returnsAnAnswerThatComesBeforeItIsWaitedFor() throws Exception {
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(directory.resolve("s"));
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(address);
            HandoverChannel requester = new AnsweredEarly(SocketChannel.open(address));
            try (HandoverChannel served = new HandoverChannel(server.accept())) {
                served.listen(new Refuser(served));
                Optional<UpgradeOutcome> outcome = UpgradeClient.request(requester, 2000);
                assertEquals(Optional.of(REFUSAL), outcome.map(UpgradeOutcome::getMessage));
            }
        }
    }
}
