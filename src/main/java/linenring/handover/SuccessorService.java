package linenring.handover;

import java.util.Optional;
import linenring.protocol.HostList;

/** Operations of the new process that takes over the service. */
public interface SuccessorService {
    /** Prepares to serve with this host list, or with the list in the configuration if empty. */
    void prepare(Optional<HostList> list) throws PreparationException;

    /** Accepts connections. */
    void accept();

    /** Called when this process is the sole owner of the port; from then on this process may be upgraded in turn. */
    void becameSoleOwner();
}
