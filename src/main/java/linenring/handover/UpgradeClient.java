package linenring.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;
import linenring.handover.wire.HandoverProtocol.UpgradeOutcome;

/** Requests an upgrade of the process that serves, from another process. */
public final class UpgradeClient {
    private UpgradeClient() {}

    /**
     * Waits for the outcome, at most so long; empty where none came. Throws where nobody listens in the directory.
     */
    public static Optional<UpgradeOutcome> request(Path directory, long timeoutMs)
            throws IOException, InterruptedException {
        return request(HandoverChannel.connect(directory.resolve(UpgradeCoordinator.SOCKET)), timeoutMs);
    }

    static Optional<UpgradeOutcome> request(HandoverChannel connected, long timeoutMs) throws InterruptedException {
        BlockingQueue<Optional<UpgradeOutcome>> answers = new LinkedBlockingQueue<>(); // one may come before the wait
        try (HandoverChannel channel = connected) {
            channel.listen(new HandoverChannel.Listener() {
                @Override
                public void onMessage(HandoverMessage message) {
                    answers.add(Optional.of(message.getUpgradeOutcome()));
                }

                @Override
                public void onEnd(Optional<String> fault) {
                    answers.add(Optional.empty());
                }
            });
            channel.send(HandoverMessages.upgradeRequest());
            Optional<UpgradeOutcome> answer = answers.poll(timeoutMs, TimeUnit.MILLISECONDS);
            return answer == null ? Optional.empty() : answer;
        }
    }
}
