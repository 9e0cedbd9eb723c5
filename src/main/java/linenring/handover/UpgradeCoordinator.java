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
 * The serving process's side of upgrades: its socket, the new process, and the effects of {@link HandoverSender}. One thread
 * of its own ("upgrade") handles all events and owns all state.
 */
public final class UpgradeCoordinator {
    /** The environment variable that names the old process's socket to the new one. */
    public static final String SOCKET_VARIABLE = "LINENRING_HANDOVER";

    /** The socket's name in the directory. */
    public static final String SOCKET = "upgrade.sock";

    private static final long TICK_MS = 50;
    private static final double NANOS_PER_MS = 1e6;

    private final Path directory;
    private final List<String> command;
    private final ServingProcess serving;
    private final Log log;
    private final HandoverSender sender;
    private final UpgradeSocket socket;
    private final ScheduledExecutorService events = DaemonThreads.singleThread("upgrade");
    private final List<HandoverChannel> requesters = new ArrayList<>(); // of the events' thread, as what follows
    private Process successor;
    private HandoverChannel successorChannel;

    private UpgradeCoordinator(
            Path directory, List<String> command, HandoverSender.Timeouts timeouts, ServingProcess serving, Log log)
            throws IOException {
        this.directory = directory;
        this.command = command;
        this.serving = serving;
        this.log = log;
        sender = new HandoverSender(timeouts);
        socket = UpgradeSocket.bind(directory, SOCKET);
    }

    /** Opens the socket; throws with a message for the operators where the directory is not safe. */
    public static UpgradeCoordinator open(
            Path directory, List<String> command, HandoverSender.Timeouts timeouts, ServingProcess serving, Log log)
            throws IOException {
        UpgradeCoordinator coordinator = new UpgradeCoordinator(directory, command, timeouts, serving, log);
        coordinator.start();
        return coordinator;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the ticks never end, and perform() handles the faults of effects
    private void start() {
        DaemonThreads.newThread("upgrade-socket", () -> socket.acceptAll(this::listen, log))
                .start();
        events.scheduleAtFixedRate(() -> perform(sender.tick(nowMs())), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    private void listen(HandoverChannel channel) {
        channel.listen(new HandoverChannel.Listener() {
            @Override
            public void onMessage(HandoverMessage message) {
                events.execute(() -> handle(channel, message));
            }

            @Override
            public void onEnd(Optional<String> fault) {
                events.execute(() -> channelEnded(channel, fault));
            }
        });
    }

    /** As {@code linenring upgrade} requests it; for a signal. */
    public void requestUpgrade() {
        events.execute(() -> perform(sender.upgradeRequested(nowMs())));
    }

    /** This process shuts down. */
    public void shutdownRequested() {
        events.execute(() -> perform(sender.shutdownRequested(nowMs())));
    }

    private void handle(HandoverChannel from, HandoverMessage message) {
        switch (message.getKindCase()) {
            case UPGRADE_REQUEST -> handleRequest(from);
            case HELLO -> handleHello(from, message.getHello());
            case READY, OWNED, ABORT -> {
                if (from == successorChannel) {
                    handleSuccessor(message);
                }
            }
            default -> {} // of a later release, or not for this side
        }
    }

    private void handleRequest(HandoverChannel from) {
        List<HandoverSender.Effect> effects = sender.upgradeRequested(nowMs());
        if (effects.isEmpty()) {
            from.send(HandoverMessages.upgradeOutcome(false, "an upgrade is under way, or this process ends"));
            from.close();
        } else {
            requesters.add(from);
            perform(effects);
        }
    }

    private void handleHello(HandoverChannel from, Hello hello) {
        boolean isSuccessor = successor != null && hello.getPid() == successor.pid() && successorChannel == null;
        if (!isSuccessor) {
            log.warn("upgrade", "a process that was not started from here is rejected");
            from.close();
            return;
        }
        successorChannel = from;
        log.info("upgrade", "process " + successor.pid() + " of release " + hello.getRelease() + " greets");
        perform(sender.greeted(hello.getProtocol(), nowMs()));
    }

    private void handleSuccessor(HandoverMessage message) {
        switch (message.getKindCase()) {
            case READY -> perform(sender.ready(nowMs()));
            case OWNED -> perform(sender.owned(nowMs()));
            default -> perform(sender.aborted(message.getAbort().getReason(), nowMs()));
        }
    }

    /** An end without a fault and without a death is judged by the timeouts, a death by the process. */
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
                List<HandoverSender.Effect> instead =
                        sender.effectFailed(effect, String.valueOf(failure.getMessage()), nowMs());
                if (!instead.isEmpty()) {
                    perform(instead);
                    return;
                }
            }
        }
    }

    private void perform(HandoverSender.Effect effect) throws IOException {
        switch (effect) {
            case SPAWN -> spawn();
            case SEND_OFFER -> successorChannel.send(HandoverMessages.offer(serving.offer()));
            case STOP_ACCEPTING -> serving.stopAccepting();
            case SEND_COMMIT -> successorChannel.send(HandoverMessages.commit());
            case DRAIN -> {
                log.info("upgrade", "process " + successor.pid() + " has the port; what runs here goes on");
                serving.drain();
            }
            case SEND_RETIRE -> successorChannel.send(HandoverMessages.retire());
            case END_WHEN_DRAINED -> {
                socket.close();
                serving.endWhenDrained();
            }
            case KILL -> successor.destroyForcibly();
            case ACCEPT -> serving.accept();
            case REPORT_FAILURE -> reportFailure();
            case REPORT_SUCCESS -> reportSuccess();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the event that follows the process's end handles its own faults
    private void spawn() throws IOException {
        InheritedListener.share(serving.listener());
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectInput(ProcessBuilder.Redirect.INHERIT)
                .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                .redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put(SOCKET_VARIABLE, directory.resolve(SOCKET).toString());
        Process started = builder.start();
        successor = started;
        successorChannel = null;
        log.info("upgrade", "starts process " + started.pid());
        started.onExit().thenRun(() -> events.execute(() -> processEnded(started)));
    }

    private void processEnded(Process process) {
        if (process == successor) { // else a later upgrade has begun
            perform(sender.newProcessDied("the new process ended with " + process.exitValue(), nowMs()));
        }
    }

    private void reportFailure() {
        String message = "this process goes on: " + sender.failure();
        log.warn("upgrade", "failed: " + message);
        answerRequesters(false, message);
        if (successorChannel != null) {
            successorChannel.close();
            successorChannel = null;
        }
    }

    private void reportSuccess() {
        String message = "process " + successor.pid() + " serves";
        log.info("upgrade", "done: " + message);
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
