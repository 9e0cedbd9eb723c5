package linenring.handover;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import linenring.handover.wire.Wire;
import linenring.log.Log;

/** The serving process's side of upgrades: its socket, the new process, and the effects of {@link HandoverSender}. */
public final class Upgrades {
    /** The variable by which the new process is told where the old one is. */
    public static final String VARIABLE = "LINENRING_HANDOVER";
    /** The socket's name in the directory. */
    public static final String SOCKET = "upgrade.sock";

    /** What is handed over, as the serving process does it. No call waits long. */
    public interface Served {
        /** Accepts nothing any more and gives orders to nobody outside; the listener stays open. */
        void stopAccepting();

        void accept();

        /** Tells clients to go elsewhere; what runs goes on. */
        void drain();

        /** Ends the process once nothing runs. */
        void endWhenDrained();

        Wire.Offer offer();

        ServerSocketChannel listener();
    }

    private static final long TICK_MS = 50;

    private final Path dir;
    private final List<String> command;
    private final Served served;
    private final Log log;
    private final HandoverSender side;
    private final ScheduledExecutorService events = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "upgrade");
        t.setDaemon(true);
        return t;
    });
    private final ExecutorService accepting = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "upgrade-socket");
        t.setDaemon(true);
        return t;
    });
    private final List<HandoverChannel> askers = new ArrayList<>();
    private ServerSocketChannel socket;
    private Process process;
    private HandoverChannel talk;

    private Upgrades(Path dir, List<String> command, HandoverSender.Bounds bounds, Served served, Log log) {
        this.dir = dir;
        this.command = command;
        this.served = served;
        this.log = log;
        side = new HandoverSender(bounds);
    }

    /** Opens the socket; throws with words for the staff where the directory is not safe. */
    public static Upgrades open(Path dir, List<String> command, HandoverSender.Bounds bounds, Served served, Log log)
            throws IOException {
        Upgrades u = new Upgrades(dir, command, bounds, served, log);
        Files.createDirectories(
                dir, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
        if (!PosixFilePermissions.toString(Files.getPosixFilePermissions(dir)).equals("rwx------")
                || !Files.getOwner(dir).getName().equals(System.getProperty("user.name"))) {
            throw new IOException(dir + " is not a directory of this user's alone (mode 0700)");
        }
        Path own = dir.resolve(ProcessHandle.current().pid() + ".sock");
        Files.deleteIfExists(own); // of a process that had the same number, and is dead
        u.socket = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        u.socket.bind(UnixDomainSocketAddress.of(own));
        Files.move(own, dir.resolve(SOCKET), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        u.accepting.execute(u::listen);
        u.events.scheduleAtFixedRate(() -> u.does(u.side.tick(now())), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        return u;
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void listen() {
        try {
            while (true) {
                begin(new HandoverChannel(socket.accept()));
            }
        } catch (IOException e) {
            // closed: retired
        }
    }

    /** Who ends at this very moment ends nothing but this. */
    private void begin(HandoverChannel with) {
        try {
            if (with.isOurs()) {
                with.hear(
                        said -> events.execute(() -> heard(with, said)), why -> events.execute(() -> ended(with, why)));
                return;
            }
            log.warn("upgrade", "somebody of another user is turned away");
        } catch (IOException | RuntimeException e) {
            log.warn("upgrade", "who it was that came can't be told: " + e.getMessage());
        }
        with.close();
    }

    /** As {@code linenring upgrade} does it; for a signal. */
    public void ask() {
        events.execute(() -> does(side.ask(now())));
    }

    /** This process is told to end. */
    public void ending() {
        events.execute(() -> does(side.ending(now())));
    }

    private void heard(HandoverChannel from, Wire.Said said) {
        switch (said.getWhatCase()) {
            case ASK -> {
                List<HandoverSender.Idempotence> begins = side.ask(now());
                if (begins.isEmpty()) {
                    from.say(ended(false, "an upgrade is under way, or this process ends"));
                    from.close();
                } else {
                    askers.add(from);
                    does(begins);
                }
            }
            case HELLO -> {
                if (process != null && said.getHello().getPid() == process.pid() && talk == null) {
                    talk = from;
                    log.info(
                            "upgrade",
                            "process " + process.pid() + " of release "
                                    + said.getHello().getRelease() + " greets");
                    does(side.hello(said.getHello().getProtocol(), now()));
                } else {
                    log.warn("upgrade", "a process that was not started from here is turned away");
                    from.close();
                }
            }
            case READY -> does(from == talk ? side.ready(now()) : List.of());
            case OWNED -> does(from == talk ? side.owned(now()) : List.of());
            case ABORT -> does(from == talk ? side.aborted(said.getAbort().getWhy(), now()) : List.of());
            default -> {}
        }
    }

    private void ended(HandoverChannel which, String why) {
        askers.remove(which);
        if (which == talk && why != null) {
            does(side.aborted(why, now()));
        } // a plain end without a death is seen by the bounds, a death by the process
    }

    private void does(List<HandoverSender.Idempotence> effects) {
        for (HandoverSender.Idempotence e : effects) {
            try {
                does(e);
            } catch (IOException | RuntimeException x) {
                log.error(
                        "upgrade",
                        e.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ') + " failed: " + x.getMessage());
                List<HandoverSender.Idempotence> instead = side.failed(e, String.valueOf(x.getMessage()), now());
                if (!instead.isEmpty()) {
                    does(instead);
                    return;
                }
            }
        }
    }

    private void does(HandoverSender.Idempotence effect) throws IOException {
        switch (effect) {
            case SPAWN -> spawn();
            case SEND_OFFER ->
                talk.say(Wire.Said.newBuilder().setOffer(served.offer()).build());
            case STOP_ACCEPTING -> served.stopAccepting();
            case SEND_COMMIT ->
                talk.say(Wire.Said.newBuilder()
                        .setCommit(Wire.Commit.getDefaultInstance())
                        .build());
            case DRAIN -> {
                log.info("upgrade", "process " + process.pid() + " has the port; what runs here goes on");
                served.drain();
            }
            case SEND_RETIRE ->
                talk.say(Wire.Said.newBuilder()
                        .setRetire(Wire.Retire.getDefaultInstance())
                        .build());
            case END_WHEN_DRAINED -> {
                socket.close();
                served.endWhenDrained();
            }
            case KILL -> process.destroyForcibly();
            case ACCEPT -> served.accept();
            case TELL_FAILED -> tell(false, "this process goes on: " + side.why());
            case TELL_DONE -> tell(true, "process " + process.pid() + " serves");
        }
    }

    private void spawn() throws IOException {
        HandoverState.share(served.listener());
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectInput(ProcessBuilder.Redirect.INHERIT)
                .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                .redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put(VARIABLE, dir.resolve(SOCKET).toString());
        process = builder.start();
        talk = null;
        log.info("upgrade", "starts process " + process.pid());
        Process started = process;
        started.onExit()
                .thenRun(() -> events.execute(() -> {
                    if (started == process) {
                        does(side.died("the new process ended with " + started.exitValue(), now()));
                    }
                }));
    }

    private void tell(boolean well, String words) {
        if (well) {
            log.info("upgrade", "done: " + words);
        } else {
            log.warn("upgrade", "failed: " + words);
        }
        askers.forEach(a -> {
            a.say(ended(well, words));
            a.close();
        });
        askers.clear();
        if (talk != null && !well) {
            talk.close();
            talk = null;
        }
    }

    private static Wire.Said ended(boolean well, String words) {
        return Wire.Said.newBuilder()
                .setEnded(Wire.Ended.newBuilder().setWell(well).setWords(words))
                .build();
    }

    /** Asks the process that serves for an upgrade, and waits for its end; null where nobody answers. */
    public static Wire.Ended ask(Path dir, long waitMs) throws IOException, InterruptedException {
        return ask(HandoverChannel.to(dir.resolve(SOCKET)), waitMs);
    }

    static Wire.Ended ask(HandoverChannel with, long waitMs) throws InterruptedException {
        BlockingQueue<Optional<Wire.Ended>> answer = new LinkedBlockingQueue<>(); // it may come before it is waited for
        try (HandoverChannel talk = with) {
            talk.hear(said -> answer.add(Optional.of(said.getEnded())), why -> answer.add(Optional.empty()));
            talk.say(
                    Wire.Said.newBuilder().setAsk(Wire.Ask.getDefaultInstance()).build());
            Optional<Wire.Ended> end = answer.poll(waitMs, TimeUnit.MILLISECONDS);
            return end == null ? null : end.orElse(null);
        }
    }
}
