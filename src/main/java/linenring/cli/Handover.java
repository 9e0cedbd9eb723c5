package linenring.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import linenring.event.EventQueue;
import linenring.gateway.settings.GatewaySettings;
import linenring.handover.HandoverSender;
import linenring.handover.HostSnapshot;
import linenring.handover.InheritedListener;
import linenring.handover.PreparationException;
import linenring.handover.ServingProcess;
import linenring.handover.SuccessorProcess;
import linenring.handover.SuccessorService;
import linenring.handover.UpgradeCoordinator;
import linenring.handover.wire.HandoverProtocol.Offer;
import linenring.protocol.HostList;
import linenring.stream.ListenException;

/** What an upgrade does to an {@link Instance}, on either side of it. */
final class Handover implements ServingProcess, SuccessorService {
    private final Instance instance;
    private final GatewaySettings.Handover plan;
    private final HostSnapshot list = new HostSnapshot();
    private UpgradeCoordinator upgrades;

    Handover(Instance instance, EventQueue exchange, HostList known) {
        this.instance = instance;
        plan = instance.plan.handover();
        if (known != null) {
            list.apply(known);
        }
        exchange.addHostListListener(list::apply);
    }

    // ---- the process that serves

    /** From here on it may be upgraded. */
    void open() {
        List<String> command = new ArrayList<>(plan.command());
        if (command.isEmpty()) { // this process's own
            ProcessHandle.Info info = ProcessHandle.current().info();
            command.add(info.command().orElse("java"));
            command.addAll(List.of(info.arguments().orElse(new String[0])));
        }
        try {
            upgrades = UpgradeCoordinator.open(
                    plan.dir(),
                    command,
                    new HandoverSender.Timeouts(plan.greetMs(), plan.prepareMs(), plan.takeMs(), plan.probationMs()),
                    this,
                    instance.log);
            ProcessSignals.handle(ProcessSignals.UPGRADE, upgrades::requestUpgrade);
        } catch (IOException e) {
            instance.log.error("upgrade", "is not possible: " + e.getMessage());
        }
    }

    void ending() {
        if (upgrades != null) {
            upgrades.shutdownRequested();
        }
    }

    @Override
    public void stopAccepting() {
        instance.front().stopAccepting();
        instance.closeStreams();
    }

    @Override
    public void accept() {
        try {
            instance.openStreams();
        } catch (ListenException e) {
            instance.log.error("upgrade", "the controller's own address cannot be had: " + e.fault());
        }
        instance.onTerm(
                this); // a process that takes over has not been told how to end, and must be before it is called
        instance.accept();
    }

    @Override
    public void drain() {
        instance.front().drain();
    }

    @Override
    public void endWhenDrained() {
        instance.endWhenDrained();
    }

    @Override
    public Offer offer() {
        return Offer.newBuilder()
                .setProtocol(HandoverSender.PROTOCOL)
                .setRelease(Subcommands.release())
                .setList(list.toWire())
                .build();
    }

    @Override
    public ServerSocketChannel listener() {
        return instance.front().listeningSocket();
    }

    // ---- the process that takes over

    int takeOver(Path socket) {
        try {
            SuccessorProcess successor = SuccessorProcess.greet(
                    socket,
                    new SuccessorProcess.Identity(
                            Subcommands.release(),
                            instance.told.names().zones().size(),
                            instance.told.names().kinds().size()),
                    this,
                    instance.log);
            instance.log.warn("upgrade", "ends: " + successor.awaitEnd());
        } catch (IOException e) {
            System.err.println("linenring: nobody to take over from at " + socket + ": " + e.getMessage());
        } catch (InterruptedException e) {
            // ends
        }
        return Subcommands.NOT_UPGRADED;
    }

    @Override
    public void prepare(Optional<HostList> offered) throws PreparationException {
        ServerSocketChannel listener = requireListener();
        try {
            HostList configured = instance.takeKnown();
            boolean isNewer = offered.isEmpty()
                    || configured != null
                            && configured.version() > offered.get().version();
            HostList known = isNewer ? configured : offered.get();
            if (known != null) {
                list.apply(known);
            }
            instance.begin(known);
            Thread steward = new Thread(instance::decide, "steward");
            steward.start();
            String fault = instance.openFront(listener, false);
            if (fault != null) {
                throw new PreparationException(fault);
            }
            instance.awaitTables();
        } catch (PreparationException failure) {
            throw failure;
        } catch (Exception failure) { // Jetty's start() may throw any
            throw new PreparationException("it cannot start: " + failure, failure);
        }
    }

    private ServerSocketChannel requireListener() throws PreparationException {
        try {
            ServerSocketChannel listener =
                    InheritedListener.find().orElseThrow(() -> new PreparationException("no listener was handed over"));
            int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            int wanted = instance.plan.listen().getPort();
            if (wanted != 0 && wanted != port) {
                throw new PreparationException("the listener is at port " + port + ", and the settings say " + wanted);
            }
            return listener;
        } catch (IOException failure) {
            throw new PreparationException("it cannot start: " + failure, failure);
        }
    }

    @Override
    public void becameSoleOwner() {
        open();
    }
}
