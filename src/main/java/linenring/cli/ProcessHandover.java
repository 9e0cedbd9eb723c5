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
import linenring.log.Log;
import linenring.protocol.HostList;
import linenring.settings.Names;
import linenring.stream.ListenException;

/** What an upgrade does to a {@link ControllerProcess}, on either side of it. */
final class ProcessHandover implements ServingProcess, SuccessorService {
    private static final String LOG_SUBJECT = "upgrade";

    private final ControllerProcess process;
    private final GatewayLifecycle gateway;
    private final GatewaySettings.Handover settings;
    private final Log log;
    private final HostSnapshot hosts = new HostSnapshot();
    private volatile UpgradeCoordinator coordinator; // null while the process may not be upgraded

    ProcessHandover(
            ControllerProcess process,
            GatewayLifecycle gateway,
            EventQueue eventQueue,
            Optional<HostList> knownHosts,
            Log log) {
        this.process = process;
        this.gateway = gateway;
        this.log = log;
        settings = gateway.settings().handover();
        knownHosts.ifPresent(hosts::apply);
        eventQueue.addHostListListener(hosts::apply);
    }

    // ---- the process that serves

    /** From here on the process may be upgraded. */
    void open() {
        HandoverSender.Timeouts timeouts = new HandoverSender.Timeouts(
                settings.greetMs(), settings.prepareMs(), settings.takeMs(), settings.probationMs());
        try {
            coordinator = UpgradeCoordinator.open(settings.dir(), successorCommand(), timeouts, this, log);
            ProcessSignals.handle(ProcessSignals.UPGRADE, coordinator::requestUpgrade);
        } catch (IOException failure) {
            log.error(LOG_SUBJECT, "is not possible: " + failure.getMessage());
        }
    }

    /** As the settings say, or as this process was started. */
    private List<String> successorCommand() {
        if (!settings.command().isEmpty()) {
            return settings.command();
        }
        ProcessHandle.Info own = ProcessHandle.current().info();
        List<String> command = new ArrayList<>();
        command.add(own.command().orElse("java"));
        command.addAll(List.of(own.arguments().orElse(new String[0])));
        return command;
    }

    /** This process shuts down. */
    void shutdownRequested() {
        if (coordinator != null) {
            coordinator.shutdownRequested();
        }
    }

    @Override
    public void stopAccepting() {
        gateway.stopAccepting();
        process.closeStreams();
    }

    @Override
    public void accept() {
        try {
            process.openStreams();
        } catch (ListenException failure) {
            log.error(LOG_SUBJECT, "the controller's own address cannot be had: " + failure.fault());
        }
        // a process that takes over must know how to drain before its first request
        gateway.handleTermination(this::shutdownRequested);
        gateway.accept();
    }

    @Override
    public void drain() {
        gateway.drain();
    }

    @Override
    public void endWhenDrained() {
        gateway.endWhenDrained();
    }

    @Override
    public Offer offer() {
        return Offer.newBuilder()
                .setProtocol(HandoverSender.PROTOCOL)
                .setRelease(Release.name())
                .setList(hosts.toWire())
                .build();
    }

    @Override
    public ServerSocketChannel listener() {
        return gateway.listener();
    }

    // ---- the process that takes over

    /** Takes over from the process at this socket; returns the exit code once that is aborted. */
    int takeOver(Path socket) {
        Names names = process.configuration().names();
        SuccessorProcess.Identity identity = new SuccessorProcess.Identity(
                Release.name(), names.zones().size(), names.kinds().size());
        try {
            SuccessorProcess successor = SuccessorProcess.greet(socket, identity, this, log);
            log.warn(LOG_SUBJECT, "ends: " + successor.awaitEnd());
        } catch (IOException failure) {
            ProgramOutput.error("nobody to take over from at " + socket + ": " + failure.getMessage());
        } catch (InterruptedException interrupted) {
            // the process ends
        }
        return ExitCode.NOT_UPGRADED;
    }

    @Override
    public void prepare(Optional<HostList> offered) throws PreparationException {
        ServerSocketChannel listener = requireListener();
        try {
            Optional<HostList> known = newer(offered, process.takeKnownHosts());
            known.ifPresent(hosts::apply);
            process.startController(known);
            new Thread(process::runControlLoop, "control-loop").start();
            gateway.start(listener);
            gateway.awaitTables();
        } catch (StartException failure) {
            throw new PreparationException(failure.getMessage(), failure);
        } catch (Exception failure) { // Jetty's start() declares any
            throw new PreparationException("it cannot start: " + failure, failure);
        }
    }

    private static Optional<HostList> newer(Optional<HostList> offered, Optional<HostList> configured) {
        if (offered.isEmpty() || configured.isEmpty()) {
            return offered.or(() -> configured);
        }
        return configured.get().version() > offered.get().version() ? configured : offered;
    }

    private ServerSocketChannel requireListener() throws PreparationException {
        try {
            ServerSocketChannel listener =
                    InheritedListener.find().orElseThrow(() -> new PreparationException("no listener was handed over"));
            int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            int configuredPort = gateway.settings().listen().getPort();
            if (configuredPort != 0 && configuredPort != port) {
                throw new PreparationException(
                        "the listener is at port " + port + ", and the settings say " + configuredPort);
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
