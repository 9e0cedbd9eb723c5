package linenring.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;
import linenring.handover.wire.HandoverProtocol.UpgradeOutcome;

/** Requests an upgrade of the serving process from another process. */
public final class UpgradeClient {
    private UpgradeClient() {}

    /**
     * Requests an upgrade and waits for its outcome; empty after the timeout or if the connection closed. Throws if no
     * process listens in the directory.
     */
    public static Optional<UpgradeOutcome> request(Path directory, long timeoutMs)
            throws IOException, InterruptedException {
        return request(HandoverChannel.connect(directory.resolve(UpgradeCoordinator.SOCKET_FILE_NAME)), timeoutMs);
    }

    static Optional<UpgradeOutcome> request(HandoverChannel connected, long timeoutMs) throws InterruptedException {
        BlockingQueue<Optional<UpgradeOutcome>> outcomes =
                new LinkedBlockingQueue<>(); // the outcome may arrive before poll() is called
        try (HandoverChannel channel = connected) {
            channel.listen(new HandoverChannel.Listener() {
                @Override
                public void onMessage(HandoverMessage message) {
                    outcomes.add(Optional.of(message.getUpgradeOutcome()));
                }

                @Override
                public void onEnd(Optional<String> fault) {
                    outcomes.add(Optional.empty());
                }
            });
            channel.send(HandoverMessages.upgradeRequest());
            Optional<UpgradeOutcome> outcome = outcomes.poll(timeoutMs, TimeUnit.MILLISECONDS);
            return outcome == null ? Optional.empty() : outcome;
        }
    }
}
