package linenring.handover;

import java.util.Optional;
import linenring.protocol.HostList;

/** What takes over, as the new process does it. */
public interface SuccessorService {
    /** Gets ready to serve with this list, or with the one in the configuration where there is none. */
    void prepare(Optional<HostList> list) throws PreparationException;

    /** Accepts connections. */
    void accept();

    /** The port is this process's alone: from here on it may be upgraded itself. */
    void becameSoleOwner();
}
