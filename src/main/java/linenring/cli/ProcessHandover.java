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

/** Hands a {@link ControllerProcess} over to a new process, or takes over from an old one, in an upgrade. */
final class ProcessHandover implements ServingProcess, SuccessorService {
    private static final String LOG_SUBJECT = "upgrade";

    private final ControllerProcess process;
    private final GatewayLifecycle gateway;
    private final GatewaySettings.Handover settings;
    private final Log log;
    private final HostSnapshot hosts = new HostSnapshot();
    private volatile UpgradeCoordinator coordinator; // null until this process can be upgraded

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

    // Methods of the old process, which serves and hands over.

    /** Enables upgrades of this process: accepts upgrade requests at the socket and by signal. */
    void open() {
        HandoverSender.Timeouts timeouts = new HandoverSender.Timeouts(
                settings.greetingTimeoutMs(),
                settings.prepareTimeoutMs(),
                settings.takeoverTimeoutMs(),
                settings.probationMs());
        try {
            coordinator = UpgradeCoordinator.open(settings.dir(), successorCommand(), timeouts, this, log);
            ProcessSignals.handle(ProcessSignals.UPGRADE, coordinator::requestUpgrade);
        } catch (IOException failure) {
            log.error(LOG_SUBJECT, "upgrading this process is not possible: " + failure.getMessage());
        }
    }

    /** Returns the command that starts the new process: the one in the settings, or else the command line of this process. */
    private List<String> successorCommand() {
        if (!settings.command().isEmpty()) {
            return settings.command();
        }
        ProcessHandle.Info ownInfo = ProcessHandle.current().info();
        List<String> command = new ArrayList<>();
        command.add(ownInfo.command().orElse("java"));
        command.addAll(List.of(ownInfo.arguments().orElse(new String[0])));
        return command;
    }

    /** Notifies the upgrade coordinator that this process shuts down. */
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
            log.error(
                    LOG_SUBJECT,
                    "the controller cannot listen for proxies; last completed step and cause: "
                            + failure.failureSummary());
        }
        // the SIGTERM handler is installed before the first request, so that a process that takes over can drain
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

    // Methods of the new process, which takes over.

    /** Takes over from the process that listens at this socket; returns the exit code if the handover is aborted. */
    int takeOver(Path socket) {
        Names names = process.configuration().names();
        SuccessorProcess.Identity identity = new SuccessorProcess.Identity(
                Release.name(), names.zones().size(), names.kinds().size());
        try {
            SuccessorProcess successor = SuccessorProcess.startHandover(socket, identity, this, log);
            log.warn(LOG_SUBJECT, "exiting because the handover was aborted: " + successor.awaitAbort());
        } catch (IOException failure) {
            ProgramOutput.printError("cannot reach the old process at " + socket + ": " + failure.getMessage());
        } catch (InterruptedException interrupted) {
            // an interrupted handover ends this process
        }
        return ExitCode.NOT_UPGRADED;
    }

    @Override
    public void prepare(Optional<HostList> offered) throws PreparationException {
        ServerSocketChannel listener = requireListener();
        try {
            Optional<HostList> initialHosts = newerList(offered, process.takeKnownHosts());
            initialHosts.ifPresent(hosts::apply);
            process.startController(initialHosts);
            new Thread(process::runControlLoop, "control-loop").start();
            gateway.start(listener);
            gateway.awaitTables();
        } catch (StartException failure) {
            throw new PreparationException(failure.getMessage(), failure);
        } catch (Exception failure) { // Jetty's start() declares Exception
            throw new PreparationException("the new process cannot start: " + failure, failure);
        }
    }

    private static Optional<HostList> newerList(Optional<HostList> offered, Optional<HostList> configured) {
        if (offered.isEmpty() || configured.isEmpty()) {
            return offered.or(() -> configured);
        }
        return configured.get().version() > offered.get().version() ? configured : offered;
    }

    private ServerSocketChannel requireListener() throws PreparationException {
        try {
            ServerSocketChannel listener = InheritedListener.find()
                    .orElseThrow(
                            () -> new PreparationException("no listening socket was handed over by the old process"));
            InetSocketAddress configured = gateway.settings().listen();
            if (!InheritedListener.isBoundTo(listener, configured)) {
                throw new PreparationException("the inherited listener is bound to " + listener.getLocalAddress()
                        + ", but the settings specify " + configured);
            }
            return listener;
        } catch (IOException failure) {
            throw new PreparationException("the new process cannot start: " + failure, failure);
        }
    }

    @Override
    public void becameSoleOwner() {
        open();
    }
}
