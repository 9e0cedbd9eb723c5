package linenring.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import linenring.event.EventQueue;
import linenring.gateway.settings.GatewaySettings;
import linenring.handover.HandoverSender;
import linenring.handover.HandoverState;
import linenring.handover.HostSnapshot;
import linenring.handover.SuccessorProcess;
import linenring.handover.Upgrades;
import linenring.handover.wire.Wire;
import linenring.protocol.HostList;
import linenring.stream.ListenException;

/** What an upgrade does to an {@link Instance}, on either side of it. */
final class Handover implements Upgrades.Served, SuccessorProcess.Serves {
    private final Instance instance;
    private final GatewaySettings.Handover plan;
    private final HostSnapshot list = new HostSnapshot();
    private Upgrades upgrades;

    Handover(Instance instance, EventQueue exchange, HostList known) {
        this.instance = instance;
        plan = instance.plan.handover();
        if (known != null) {
            list.listed(known);
        }
        exchange.addHostListListener(list::listed);
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
            upgrades = Upgrades.open(
                    plan.dir(),
                    command,
                    new HandoverSender.Bounds(plan.greetMs(), plan.prepareMs(), plan.takeMs(), plan.probationMs()),
                    this,
                    instance.log);
            ProcessSignals.handle(ProcessSignals.UPGRADE, upgrades::ask);
        } catch (IOException e) {
            instance.log.error("upgrade", "is not possible: " + e.getMessage());
        }
    }

    void ending() {
        if (upgrades != null) {
            upgrades.ending();
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
    public Wire.Offer offer() {
        return Wire.Offer.newBuilder()
                .setProtocol(HandoverSender.PROTOCOL)
                .setRelease(Subcommands.release())
                .setList(list.told())
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
                    Subcommands.release(),
                    instance.told.names().zones().size(),
                    instance.told.names().kinds().size(),
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
    public String prepare(HostList told) {
        try {
            ServerSocketChannel listener = HandoverState.listener();
            if (listener == null) {
                return "no listener was handed over";
            }
            int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            if (instance.plan.listen().getPort() != 0 && instance.plan.listen().getPort() != port) {
                return "the listener is at port " + port + ", and the settings say "
                        + instance.plan.listen().getPort();
            }
            HostList configured = instance.takeKnown();
            boolean isNewer = told == null || configured != null && configured.version() > told.version();
            HostList known = isNewer ? configured : told;
            if (known != null) {
                list.listed(known);
            }
            instance.begin(known);
            Thread steward = new Thread(instance::decide, "steward");
            steward.start();
            String fault = instance.openFront(listener, false);
            if (fault == null) {
                instance.awaitTables();
            }
            return fault;
        } catch (Exception e) { // Jetty's start() may throw any
            return "it cannot start: " + e;
        }
    }

    @Override
    public void alone() {
        open();
    }
}
