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
    private static final String REJECTION_MESSAGE = "an upgrade is already in progress";

    @TempDir
    private Path directory;

    /** A channel whose send() returns only after the answer to the request has been read. */
    private static final class EarlyAnswerChannel extends HandoverChannel {
        private final CountDownLatch answered = new CountDownLatch(1);

        EarlyAnswerChannel(SocketChannel channel) {
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
                answered.await(); // the requester continues only after the answer was read
            } catch (InterruptedException interrupted) {
                throw new AssertionError(interrupted);
            }
        }
    }

    /** Rejects every request. */
    private record RefusingListener(HandoverChannel channel) implements HandoverChannel.Listener {
        @Override
        public void onMessage(HandoverMessage message) {
            channel.send(HandoverMessages.upgradeOutcome(false, REJECTION_MESSAGE));
        }

        @Override
        public void onEnd(Optional<String> fault) {
            // the requester has closed the connection
        }
    }

    /** A rejection is sent at once, so it may be read before the requester starts to wait. */
    @Test
    void returnsAnOutcomeThatArrivesBeforeTheWait() throws Exception {
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(directory.resolve("s"));
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(address);
            HandoverChannel requester = new EarlyAnswerChannel(SocketChannel.open(address));
            try (HandoverChannel serverChannel = new HandoverChannel(server.accept())) {
                serverChannel.listen(new RefusingListener(serverChannel));
                Optional<UpgradeOutcome> outcome = UpgradeClient.request(requester, 2000);
                assertEquals(Optional.of(REJECTION_MESSAGE), outcome.map(UpgradeOutcome::getMessage));
            }
        }
    }
}
