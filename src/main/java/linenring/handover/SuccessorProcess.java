package linenring.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import linenring.handover.wire.Wire;
import linenring.log.Log;
import linenring.protocol.HostList;

/** The new process's side: the way to the old one, and the effects of {@link HandoverReceiver}. */
public final class SuccessorProcess {
    /** What takes over. */
    public interface Serves {
        /** Gets ready with this list, or with what the configuration knows where it is null; a fault, or null. */
        String prepare(HostList list);

        void accept();

        /** The port is its own: from here on it may be upgraded itself. */
        void alone();
    }

    private static final double WAIT_MS = 60_000; // past all the old side's own bounds: it decides
    private static final long DEATH_MS = 2000; // its connection ends some ms before it is seen to be dead
    private static final long TICK_MS = 100;

    private final HandoverChannel talk;
    private final long oldPid;
    private final String release;
    private final int zones, kinds;
    private final Serves serves;
    private final Log log;
    private final HandoverReceiver side = new HandoverReceiver(WAIT_MS);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final ScheduledExecutorService events = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "handover-events");
        t.setDaemon(true);
        return t;
    });
    private HostList list;
    private boolean alone; // and said so

    private SuccessorProcess(
            HandoverChannel talk, long oldPid, String release, int zones, int kinds, Serves serves, Log log) {
        this.talk = talk;
        this.oldPid = oldPid;
        this.release = release;
        this.zones = zones;
        this.kinds = kinds;
        this.serves = serves;
        this.log = log;
    }

    /** Greets the old process; what follows happens on threads of its own. */
    public static SuccessorProcess greet(Path socket, String release, int zones, int kinds, Serves serves, Log log)
            throws IOException {
        long parent = ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(-1L);
        SuccessorProcess s =
                new SuccessorProcess(HandoverChannel.to(socket), parent, release, zones, kinds, serves, log);
        if (!s.talk.isOurs()) {
            throw new IOException("the process at " + socket + " is another user's");
        }
        s.talk.hear(said -> s.events.execute(() -> s.heard(said)), why -> s.events.execute(s::cut));
        s.events.execute(() -> s.does(s.side.connected(now())));
        s.events.scheduleAtFixedRate(() -> s.does(s.side.tick(now())), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        return s;
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /** Waits until it is called off; tells why. */
    public String awaitEnd() throws InterruptedException {
        ended.await();
        return side.why();
    }

    private void heard(Wire.Said said) {
        switch (said.getWhatCase()) {
            case OFFER -> {
                Wire.Offer offer = said.getOffer();
                boolean understood = offer.getProtocol() == HandoverSender.PROTOCOL && offer.hasList();
                list = understood ? HostSnapshot.heard(offer.getList(), zones, kinds) : null;
                if (!understood) {
                    log.warn(
                            "upgrade",
                            "what release " + offer.getRelease() + " hands over can't be used; starts from"
                                    + " the list that the configuration knows");
                }
                does(side.offered(offer.getProtocol(), now()));
            }
            case COMMIT -> does(side.committed(now()));
            case RETIRE -> does(side.retired(now()));
            case ABORT -> does(side.aborted(said.getAbort().getWhy(), now()));
            default -> {}
        }
    }

    private void cut() {
        boolean dead = oldPid <= 1
                || ProcessHandle.of(oldPid)
                        .map(p -> {
                            try {
                                p.onExit().get(DEATH_MS, TimeUnit.MILLISECONDS);
                                return true;
                            } catch (java.util.concurrent.TimeoutException
                                    | java.util.concurrent.ExecutionException e) {
                                return !p.isAlive();
                            } catch (InterruptedException e) {
                                return false;
                            }
                        })
                        .orElse(true);
        does(dead ? side.oldDied(now()) : side.cutOff(now()));
    }

    private void does(List<HandoverReceiver.Idempotence> effects) {
        for (HandoverReceiver.Idempotence e : effects) {
            switch (e) {
                case SEND_HELLO ->
                    talk.say(Wire.Said.newBuilder()
                            .setHello(Wire.Hello.newBuilder()
                                    .setProtocol(HandoverSender.PROTOCOL)
                                    .setRelease(release)
                                    .setPid(ProcessHandle.current().pid()))
                            .build());
                case PREPARE, PREPARE_FROM_LIST -> {
                    String fault = serves.prepare(e == HandoverReceiver.Idempotence.PREPARE ? list : null);
                    does(side.prepared(fault, now()));
                }
                case SEND_READY ->
                    talk.say(Wire.Said.newBuilder()
                            .setReady(Wire.Ready.getDefaultInstance())
                            .build());
                case ACCEPT -> serves.accept();
                case SEND_OWNED ->
                    talk.say(Wire.Said.newBuilder()
                            .setOwned(Wire.Owned.getDefaultInstance())
                            .build());
                case SEND_ABORT ->
                    talk.say(Wire.Said.newBuilder()
                            .setAbort(Wire.Abort.newBuilder().setWhy(side.why()))
                            .build());
                case END -> ended.countDown();
            }
        }
        if (side.state() == HandoverReceiver.State.ALONE && !alone) {
            alone = true;
            log.info("upgrade", "the port is this process's alone");
            serves.alone();
        }
    }
}
