package linenring.controller;

import java.util.Arrays;
import java.util.BitSet;

/**
 * The ejection status of each host at one proxy, as far as the controller knows it. A proxy keeps its ejections when its stream
 * ends and when its tables are replaced, so a host that was ejected there gets traffic again only after an explicit restoration.
 *
 * <p>The status takes one byte for each host: a thousand proxies with a few thousand hosts each need a few megabytes. Owned by
 * the control loop's thread.
 */
final class EjectionRecord {
    private static final int SPARE_CAPACITY_HOSTS = 16;

    /** Hosts for which this controller has ever sent the proxy an ejection. */
    private final BitSet everEjectedHosts = new BitSet();
    /**
     * Whether another controller may have ejected hosts at the proxy. Hosts without a recorded status are then {@link
     * EjectionStatus#UNKNOWN}.
     */
    private boolean othersMayHaveEjected;
    /** Whether a host that the proxy may still have ejected was forgotten. */
    private boolean hasForgottenHosts;
    /** Codes of {@link EjectionStatus} by host id. Hosts beyond the end of the array have the default status. */
    private byte[] statusByHost = {};

    /**
     * Resets the record after the proxy has subscribed, since updates in transit on its old stream may be lost.
     *
     * @param isNew whether the proxy holds no configuration yet
     * @param isSameStream whether the proxy has subscribed again on its current stream
     */
    void resetForSubscription(boolean isNew, boolean isSameStream) {
        boolean mayHaveUsedOtherController = !isNew && (othersMayHaveEjected || !isSameStream);
        othersMayHaveEjected = hasForgottenHosts || mayHaveUsedOtherController;
        statusByHost = new byte[0];
        everEjectedHosts.stream().forEach(host -> set(host, EjectionStatus.UNCERTAIN));
    }

    /** Returns the ejection status of a host at this proxy. */
    EjectionStatus status(int host) {
        return host < statusByHost.length ? EjectionStatus.ofCode(statusByHost[host]) : defaultStatus();
    }

    void set(int host, EjectionStatus status) {
        growTo(host + 1);
        statusByHost[host] = status.code();
        if (status == EjectionStatus.EJECTED) {
            everEjectedHosts.set(host);
        }
    }

    /**
     * Forgets a removed host. The host may return under a different id, so any host that is listed later may already be ejected at
     * the proxy.
     *
     * @param hostIdLimit upper bound of all host ids, exclusive
     */
    void forget(int host, int hostIdLimit) {
        growTo(hostIdLimit);
        othersMayHaveEjected = true;
        hasForgottenHosts = true;
        everEjectedHosts.clear(host);
        Arrays.fill(statusByHost, hostIdLimit, statusByHost.length, EjectionStatus.UNKNOWN.code());
        statusByHost[host] = EjectionStatus.UNKNOWN.code();
    }

    /**
     * Whether a table that contains the host must be sent with a restoration of the host, because this controller ejected it at
     * the proxy.
     */
    boolean needsRestoration(int host) {
        EjectionStatus status = status(host);
        return status == EjectionStatus.EJECTED || status == EjectionStatus.UNCERTAIN;
    }

    private EjectionStatus defaultStatus() {
        return othersMayHaveEjected ? EjectionStatus.UNKNOWN : EjectionStatus.NOT_EJECTED;
    }

    private void growTo(int hosts) {
        if (hosts > statusByHost.length) {
            int oldLength = statusByHost.length;
            statusByHost = Arrays.copyOf(statusByHost, hosts + SPARE_CAPACITY_HOSTS);
            Arrays.fill(
                    statusByHost,
                    oldLength,
                    statusByHost.length,
                    defaultStatus().code());
        }
    }
}
