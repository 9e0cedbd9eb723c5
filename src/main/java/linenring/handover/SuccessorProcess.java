package linenring.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;
import linenring.handover.wire.HandoverProtocol.Offer;
import linenring.log.Log;
import linenring.protocol.HostList;

/**
 * Runs a handover in the new process: connects to the old process and performs the effects of {@link HandoverReceiver}. One
 * thread ("handover-events") handles all events.
 */
public final class SuccessorProcess {
    /** Name of this release, and the settings against which hosts in the old process's list are checked. */
    public record Identity(String release, int zoneCount, int kindCount) {}

    /** Longer than all timeouts of the old process together, so that the old process decides about an abort. */
    private static final double SILENCE_TIMEOUT_MS = 60_000;

    /** Wait for an exit after a connection loss: connections of a dying process close some ms before its death is visible. */
    private static final long DEATH_WAIT_MS = 2000;

    private static final long TICK_MS = 100;
    private static final double NANOS_PER_MS = 1e6;

    private final HandoverChannel channel;
    private final long oldPid;
    private final Identity identity;
    private final SuccessorService service;
    private final Log log;
    private final HandoverReceiver receiver = new HandoverReceiver(SILENCE_TIMEOUT_MS);
    private final CountDownLatch endLatch = new CountDownLatch(1);
    private final ScheduledExecutorService eventExecutor = DaemonThreads.singleThread("handover-events");
    private Optional<HostList> offeredList = Optional.empty(); // used on the event thread only
    private boolean hasNotifiedSoleOwner; // used on the event thread only

    private SuccessorProcess(
            HandoverChannel channel, long oldPid, Identity identity, SuccessorService service, Log log) {
        this.channel = channel;
        this.oldPid = oldPid;
        this.identity = identity;
        this.service = service;
        this.log = log;
    }

    /** Connects to the old process and starts the handover, which runs on separate threads. */
    public static SuccessorProcess startHandover(Path socket, Identity identity, SuccessorService service, Log log)
            throws IOException {
        long parentPid =
                ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(-1L);
        SuccessorProcess successor =
                new SuccessorProcess(HandoverChannel.connect(socket), parentPid, identity, service, log);
        if (!successor.channel.belongsToSameUser()) {
            throw new IOException("the process at " + socket + " belongs to another user");
        }
        successor.start();
        return successor;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the periodic ticks run until the process exits
    private void start() {
        channel.listen(new HandoverChannel.Listener() {
            @Override
            public void onMessage(HandoverMessage message) {
                eventExecutor.execute(() -> handle(message));
            }

            @Override
            public void onEnd(Optional<String> fault) {
                eventExecutor.execute(SuccessorProcess.this::connectionEnded);
            }
        });
        eventExecutor.execute(() -> perform(receiver.connected(nowMs())));
        eventExecutor.scheduleAtFixedRate(
                () -> perform(receiver.tick(nowMs())), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Waits until the handover is aborted, and returns the reason. */
    public String awaitAbort() throws InterruptedException {
        endLatch.await();
        return receiver.endReason();
    }

    private void handle(HandoverMessage message) {
        switch (message.getKindCase()) {
            case OFFER -> handle(message.getOffer());
            case COMMIT -> perform(receiver.committed(nowMs()));
            case RETIRE -> perform(receiver.retired(nowMs()));
            case ABORT -> perform(receiver.aborted(message.getAbort().getReason(), nowMs()));
            default -> {} // a message of a later release, or one for the old process
        }
    }

    private void handle(Offer offer) {
        if (offer.getProtocol() == HandoverSender.PROTOCOL && offer.hasList()) {
            offeredList =
                    Optional.of(HostSnapshot.fromWire(offer.getList(), identity.zoneCount(), identity.kindCount()));
        } else {
            offeredList = Optional.empty();
            log.warn(
                    "upgrade",
                    "offer of release " + offer.getRelease()
                            + " is unusable; starting from the host list in the configuration");
        }
        perform(receiver.offered(offer.getProtocol(), nowMs()));
    }

    private void connectionEnded() {
        perform(isOldProcessDead() ? receiver.oldProcessDied(nowMs()) : receiver.disconnected(nowMs()));
    }

    private boolean isOldProcessDead() {
        return oldPid <= 1
                || ProcessHandle.of(oldPid)
                        .map(SuccessorProcess::exitsWithinDeathWait)
                        .orElse(true);
    }

    private static boolean exitsWithinDeathWait(ProcessHandle process) {
        try {
            process.onExit().get(DEATH_WAIT_MS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException | ExecutionException failure) {
            return !process.isAlive();
        } catch (InterruptedException interrupted) {
            return false;
        }
    }

    private void perform(List<HandoverReceiver.Effect> effects) {
        effects.forEach(this::perform);
        if (receiver.state() == HandoverReceiver.State.SOLE_OWNER && !hasNotifiedSoleOwner) {
            hasNotifiedSoleOwner = true;
            log.info("upgrade", "this process is now the sole owner of the port");
            service.becameSoleOwner();
        }
    }

    private void perform(HandoverReceiver.Effect effect) {
        switch (effect) {
            case SEND_HELLO -> channel.send(HandoverMessages.hello(identity.release()));
            case PREPARE -> prepare(offeredList);
            case PREPARE_FROM_CONFIGURATION -> prepare(Optional.empty());
            case SEND_READY -> channel.send(HandoverMessages.ready());
            case ACCEPT -> service.accept();
            case SEND_OWNED -> channel.send(HandoverMessages.owned());
            case SEND_ABORT -> channel.send(HandoverMessages.abort(receiver.endReason()));
            case END -> endLatch.countDown();
        }
    }

    private void prepare(Optional<HostList> list) {
        List<HandoverReceiver.Effect> nextEffects;
        try {
            service.prepare(list);
            nextEffects = receiver.prepared(nowMs());
        } catch (PreparationException failure) {
            nextEffects = receiver.preparationFailed(failure.getMessage(), nowMs());
        }
        perform(nextEffects);
    }
}
