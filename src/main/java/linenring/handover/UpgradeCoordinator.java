package linenring.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;
import linenring.handover.wire.HandoverProtocol.Hello;
import linenring.log.Log;

/**
 * Runs upgrades in the serving process: listens on the upgrade socket, starts the new process, and performs the effects of
 * {@link HandoverSender}. One thread ("upgrade") handles all events and confines all state.
 */
public final class UpgradeCoordinator {
    /** Environment variable with the path of the old process's socket, set for the new process. */
    public static final String SOCKET_ENVIRONMENT_VARIABLE = "LINENRING_HANDOVER";

    /** File name of the socket in the upgrade directory. */
    public static final String SOCKET_FILE_NAME = "upgrade.sock";

    private static final long TICK_MS = 50;
    private static final double NANOS_PER_MS = 1e6;

    private final Path directory;
    private final List<String> command;
    private final ServingProcess servingProcess;
    private final Log log;
    private final HandoverSender sender;
    private final UpgradeSocket socket;
    private final ScheduledExecutorService eventExecutor = DaemonThreads.singleThread("upgrade");
    private final List<HandoverChannel> requesters =
            new ArrayList<>(); // this and the following fields are used on the event thread only
    private Process successor;
    private HandoverChannel successorChannel;

    private UpgradeCoordinator(
            Path directory, List<String> command, HandoverSender.Timeouts timeouts, ServingProcess serving, Log log)
            throws IOException {
        this.directory = directory;
        this.command = command;
        this.servingProcess = serving;
        this.log = log;
        sender = new HandoverSender(timeouts);
        socket = UpgradeSocket.bind(directory, SOCKET_FILE_NAME);
    }

    /** Opens the socket. Throws with a message for operators if other users have access to the directory. */
    public static UpgradeCoordinator open(
            Path directory, List<String> command, HandoverSender.Timeouts timeouts, ServingProcess serving, Log log)
            throws IOException {
        UpgradeCoordinator coordinator = new UpgradeCoordinator(directory, command, timeouts, serving, log);
        coordinator.start();
        return coordinator;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the periodic ticks never end, and perform() handles failed effects
    private void start() {
        DaemonThreads.newThread("upgrade-socket", () -> socket.acceptAll(this::listen, log))
                .start();
        eventExecutor.scheduleAtFixedRate(() -> perform(sender.tick(nowMs())), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    private void listen(HandoverChannel channel) {
        channel.listen(new HandoverChannel.Listener() {
            @Override
            public void onMessage(HandoverMessage message) {
                eventExecutor.execute(() -> handle(channel, message));
            }

            @Override
            public void onEnd(Optional<String> fault) {
                eventExecutor.execute(() -> channelEnded(channel, fault));
            }
        });
    }

    /** Requests an upgrade on behalf of a signal, like {@code linenring upgrade}. */
    public void requestUpgrade() {
        eventExecutor.execute(() -> perform(sender.upgradeRequested(nowMs())));
    }

    /** Notifies the coordinator that this process is shutting down. */
    public void shutdownRequested() {
        eventExecutor.execute(() -> perform(sender.shutdownRequested(nowMs())));
    }

    private void handle(HandoverChannel origin, HandoverMessage message) {
        switch (message.getKindCase()) {
            case UPGRADE_REQUEST -> handleRequest(origin);
            case HELLO -> handleHello(origin, message.getHello());
            case READY, OWNED, ABORT -> {
                if (origin == successorChannel) {
                    handleSuccessorMessage(message);
                }
            }
            default -> {} // a message of a later release, or one for the new process
        }
    }

    private void handleRequest(HandoverChannel origin) {
        List<HandoverSender.Effect> effects = sender.upgradeRequested(nowMs());
        if (effects.isEmpty()) {
            origin.send(HandoverMessages.upgradeOutcome(
                    false, "an upgrade is already in progress, or this process is shutting down"));
            origin.close();
        } else {
            requesters.add(origin);
            perform(effects);
        }
    }

    private void handleHello(HandoverChannel origin, Hello hello) {
        boolean isSuccessor = successor != null && hello.getPid() == successor.pid() && successorChannel == null;
        if (!isSuccessor) {
            log.warn(
                    "upgrade",
                    "rejecting a connection from a process that this process has not started for the upgrade");
            origin.close();
            return;
        }
        successorChannel = origin;
        log.info("upgrade", "process " + successor.pid() + " of release " + hello.getRelease() + " has connected");
        perform(sender.greeted(hello.getProtocol(), nowMs()));
    }

    private void handleSuccessorMessage(HandoverMessage message) {
        switch (message.getKindCase()) {
            case READY -> perform(sender.ready(nowMs()));
            case OWNED -> perform(sender.owned(nowMs()));
            default -> perform(sender.aborted(message.getAbort().getReason(), nowMs()));
        }
    }

    /**
     * Handles a closed channel. Only a malformed message aborts the upgrade here: the new process's death is reported by the
     * operating system, and a silent new process runs into a timeout.
     */
    private void channelEnded(HandoverChannel channel, Optional<String> fault) {
        requesters.remove(channel);
        if (channel == successorChannel && fault.isPresent()) {
            perform(sender.aborted(fault.get(), nowMs()));
        }
    }

    private void perform(List<HandoverSender.Effect> effects) {
        for (HandoverSender.Effect effect : effects) {
            try {
                perform(effect);
            } catch (IOException | RuntimeException failure) {
                String name = effect.name().toLowerCase(Locale.ROOT).replace('_', ' ');
                log.error("upgrade", name + " failed: " + failure.getMessage());
                List<HandoverSender.Effect> replacementEffects =
                        sender.effectFailed(effect, String.valueOf(failure.getMessage()), nowMs());
                if (!replacementEffects.isEmpty()) {
                    perform(replacementEffects);
                    return;
                }
            }
        }
    }

    private void perform(HandoverSender.Effect effect) throws IOException {
        switch (effect) {
            case SPAWN -> spawn();
            case SEND_OFFER -> successorChannel.send(HandoverMessages.offer(servingProcess.offer()));
            case STOP_ACCEPTING -> servingProcess.stopAccepting();
            case SEND_COMMIT -> successorChannel.send(HandoverMessages.commit());
            case DRAIN -> {
                log.info(
                        "upgrade",
                        "process " + successor.pid() + " has the port; this process completes its running requests");
                servingProcess.drain();
            }
            case SEND_RETIRE -> successorChannel.send(HandoverMessages.retire());
            case END_WHEN_DRAINED -> {
                socket.close();
                servingProcess.endWhenDrained();
            }
            case KILL -> successor.destroyForcibly();
            case ACCEPT -> servingProcess.accept();
            case REPORT_FAILURE -> reportFailure();
            case REPORT_SUCCESS -> reportSuccess();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // processEnded() handles its own failures
    private void spawn() throws IOException {
        InheritedListener.share(servingProcess.listener());
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectInput(ProcessBuilder.Redirect.INHERIT)
                .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                .redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment()
                .put(
                        SOCKET_ENVIRONMENT_VARIABLE,
                        directory.resolve(SOCKET_FILE_NAME).toString());
        Process newProcess = builder.start();
        successor = newProcess;
        successorChannel = null;
        log.info("upgrade", "starts process " + newProcess.pid());
        newProcess.onExit().thenRun(() -> eventExecutor.execute(() -> processEnded(newProcess)));
    }

    private void processEnded(Process process) {
        if (process == successor) { // otherwise a later upgrade has started another process
            perform(sender.newProcessDied("the new process exited with code " + process.exitValue(), nowMs()));
        }
    }

    private void reportFailure() {
        String message = "this process keeps serving: " + sender.failureReason();
        log.warn("upgrade", "failed; " + message);
        answerRequesters(false, message);
        if (successorChannel != null) {
            successorChannel.close();
            successorChannel = null;
        }
    }

    private void reportSuccess() {
        String message = "process " + successor.pid() + " now serves";
        log.info("upgrade", "completed: " + message);
        answerRequesters(true, message);
    }

    private void answerRequesters(boolean succeeded, String message) {
        requesters.forEach(requester -> {
            requester.send(HandoverMessages.upgradeOutcome(succeeded, message));
            requester.close();
        });
        requesters.clear();
    }
}
