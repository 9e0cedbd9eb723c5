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
 * The new process's side of a handover: the connection to the old one, and the effects of {@link HandoverReceiver}. One thread
 * of its own ("handover-events") handles all events.
 */
public final class SuccessorProcess {
    /** What of the settings the old process's list must fit, and this release's name. */
    public record Identity(String release, int zoneCount, int kindCount) {}

    /** Longer than all timeouts of the old process together: it decides. */
    private static final double SILENCE_TIMEOUT_MS = 60_000;

    /** A dying process's connections end some ms before the process can be seen to be dead. */
    private static final long DEATH_WAIT_MS = 2000;

    private static final long TICK_MS = 100;
    private static final double NANOS_PER_MS = 1e6;

    private final HandoverChannel channel;
    private final long oldPid;
    private final Identity identity;
    private final SuccessorService service;
    private final Log log;
    private final HandoverReceiver receiver = new HandoverReceiver(SILENCE_TIMEOUT_MS);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final ScheduledExecutorService events = DaemonThreads.singleThread("handover-events");
    private Optional<HostList> offeredList = Optional.empty(); // of the events' thread
    private boolean isSoleOwner; // and the service knows; of the events' thread

    private SuccessorProcess(
            HandoverChannel channel, long oldPid, Identity identity, SuccessorService service, Log log) {
        this.channel = channel;
        this.oldPid = oldPid;
        this.identity = identity;
        this.service = service;
        this.log = log;
    }

    /** Greets the old process; what follows happens on threads of its own. */
    public static SuccessorProcess greet(Path socket, Identity identity, SuccessorService service, Log log)
            throws IOException {
        long parent = ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(-1L);
        SuccessorProcess successor =
                new SuccessorProcess(HandoverChannel.connect(socket), parent, identity, service, log);
        if (!successor.channel.isOfSameUser()) {
            throw new IOException("the process at " + socket + " is another user's");
        }
        successor.start();
        return successor;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the ticks, which end with the process
    private void start() {
        channel.listen(new HandoverChannel.Listener() {
            @Override
            public void onMessage(HandoverMessage message) {
                events.execute(() -> handle(message));
            }

            @Override
            public void onEnd(Optional<String> fault) {
                events.execute(SuccessorProcess.this::connectionEnded);
            }
        });
        events.execute(() -> perform(receiver.connected(nowMs())));
        events.scheduleAtFixedRate(() -> perform(receiver.tick(nowMs())), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Waits until the handover is aborted; returns the reason. */
    public String awaitEnd() throws InterruptedException {
        ended.await();
        return receiver.endReason();
    }

    private void handle(HandoverMessage message) {
        switch (message.getKindCase()) {
            case OFFER -> handle(message.getOffer());
            case COMMIT -> perform(receiver.committed(nowMs()));
            case RETIRE -> perform(receiver.retired(nowMs()));
            case ABORT -> perform(receiver.aborted(message.getAbort().getReason(), nowMs()));
            default -> {} // of a later release, or not for this side
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
                    "what release " + offer.getRelease()
                            + " hands over cannot be used; starts from the list in the configuration");
        }
        perform(receiver.offered(offer.getProtocol(), nowMs()));
    }

    private void connectionEnded() {
        perform(isOldProcessDead() ? receiver.oldProcessDied(nowMs()) : receiver.disconnected(nowMs()));
    }

    private boolean isOldProcessDead() {
        return oldPid <= 1
                || ProcessHandle.of(oldPid).map(SuccessorProcess::diesSoon).orElse(true);
    }

    private static boolean diesSoon(ProcessHandle process) {
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
        if (receiver.state() == HandoverReceiver.State.SOLE_OWNER && !isSoleOwner) {
            isSoleOwner = true;
            log.info("upgrade", "the port is this process's alone");
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
            case END -> ended.countDown();
        }
    }

    private void prepare(Optional<HostList> list) {
        List<HandoverReceiver.Effect> next;
        try {
            service.prepare(list);
            next = receiver.prepared(nowMs());
        } catch (PreparationException failure) {
            next = receiver.preparationFailed(failure.getMessage(), nowMs());
        }
        perform(next);
    }
}
