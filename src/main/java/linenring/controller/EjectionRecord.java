package linenring.controller;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Which hosts one proxy has ejected, as far as is known. A proxy keeps ejections when its stream ends and when its tables are
 * replaced, so that a host whose ejection it was sent must be restored by name before traffic returns to it.
 *
 * <p>One byte for each host: a thousand proxies with some thousand hosts each need a few megabytes. Owned by the control loop's
 * thread.
 */
final class EjectionRecord {
    private static final int SPARE_HOSTS = 16;

    /** Hosts whose ejection this controller ever sent to the proxy. */
    private final BitSet everEjected = new BitSet();
    /** Others may have ejected hosts there: those without a status of their own are {@link EjectionStatus#UNKNOWN}. */
    private boolean othersMayHaveEjected;
    /** Hosts were forgotten that the proxy may still have ejected. */
    private boolean forgotHosts;
    /** Codes of {@link EjectionStatus} by host id; hosts beyond its end have the default. */
    private byte[] statusByHost = {};

    /**
     * The proxy has subscribed: what was on its way on an old stream may be lost.
     *
     * @param isNew the proxy holds no configuration
     * @param isSameStream it has subscribed again on the stream that it had
     */
    void restart(boolean isNew, boolean isSameStream) {
        boolean mayHaveBeenElsewhere = !isNew && (othersMayHaveEjected || !isSameStream);
        othersMayHaveEjected = forgotHosts || mayHaveBeenElsewhere;
        statusByHost = new byte[0];
        everEjected.stream().forEach(host -> set(host, EjectionStatus.UNCERTAIN));
    }

    EjectionStatus status(int host) {
        return host < statusByHost.length ? EjectionStatus.ofCode(statusByHost[host]) : defaultStatus();
    }

    void set(int host, EjectionStatus status) {
        growTo(host + 1);
        statusByHost[host] = status.code();
        if (status == EjectionStatus.EJECTED) {
            everEjected.set(host);
        }
    }

    /**
     * Forgets a removed host. It may return under any id, so that nothing is known of hosts that are listed from now on.
     *
     * @param hostIds how many host ids there are
     */
    void forget(int host, int hostIds) {
        growTo(hostIds);
        othersMayHaveEjected = true;
        forgotHosts = true;
        everEjected.clear(host);
        Arrays.fill(statusByHost, hostIds, statusByHost.length, EjectionStatus.UNKNOWN.code());
        statusByHost[host] = EjectionStatus.UNKNOWN.code();
    }

    /** Whether a table that holds the host must come with its restoration, since this controller once ejected it there. */
    boolean needsRestoration(int host) {
        EjectionStatus status = status(host);
        return status == EjectionStatus.EJECTED || status == EjectionStatus.UNCERTAIN;
    }

    private EjectionStatus defaultStatus() {
        return othersMayHaveEjected ? EjectionStatus.UNKNOWN : EjectionStatus.NOT_EJECTED;
    }

    private void growTo(int hosts) {
        if (hosts > statusByHost.length) {
            int known = statusByHost.length;
            statusByHost = Arrays.copyOf(statusByHost, hosts + SPARE_HOSTS);
            Arrays.fill(
                    statusByHost, known, statusByHost.length, defaultStatus().code());
        }
    }
}
