package linenring.planner;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Schedules sub-updates by ESPRES (see docs/design.md). All pending changes of one shared table form one sub-update.
 * The smallest sub-update is sent first, to all proxies of the table at once, when all of them have room in their
 * windows of unacknowledged messages. Inputs: pending changes (entries, and entries times proxies), round-trip time
 * (ms), the windows and the queue estimate of {@link FlowControl}.
 *
 * <p>The depth rule of ESPRES: where binds would finish last, the other entries of the table wait for the binds,
 * since proxies that are not bound to any of this controller's tables hold outdated tables. A large sub-update is
 * split into pieces, since the complete sub-update would never find room in the queue.
 */
final class UpdateScheduler {
    /**
     * Margin by which the depth rule of ESPRES (see docs/design.md) favours binds when it compares remaining entries.
     */
    private static final double DEPTH_RULE_MARGIN = 1.05;
    /** Number of steps from a bind to the end of its update: the bind, and the clearing of the old table. */
    private static final int BIND_DEPTH = 2;

    private final PlannerContext context;
    private final PendingChanges changes;
    private final AdmissionController admission;
    private final ProxyBinder binder;

    UpdateScheduler(PlannerContext context, PendingChanges changes, AdmissionController admission, ProxyBinder binder) {
        this.context = context;
        this.changes = changes;
        this.admission = admission;
        this.binder = binder;
    }

    /** Sends the smallest sub-update that may be sent now; returns whether one was sent. */
    boolean sendSubUpdate() {
        double gapMs = Math.max(context.flow().roundTripMs(), context.flow().messageGapMs());
        EndpointTable smallestUpdate = context.registry().tables().stream()
                .filter(table -> table.isEmpty()
                        || context.flow().hasMessageGapElapsed(table, gapMs)
                        || admission.isAdmissionCutPending(table))
                .filter(table -> changes.pendingWrites(table) > 0 && !mustWaitForBinds(table) && fitsAllProxies(table))
                .min(Comparator.comparingDouble(changes::pendingEntries))
                .orElse(null);
        if (smallestUpdate != null) {
            changes.write(smallestUpdate);
        }
        return smallestUpdate != null;
    }

    /** Whether the table's entries must wait for pending binds, by the depth rule. */
    private boolean mustWaitForBinds(EndpointTable table) {
        double bindEntries = context.registry().isFullTable(table) ? binder.pendingBindEntries(table) : 0;
        if (bindEntries == 0) {
            return false;
        }
        double maxPendingEntries = context.registry().fullTables().stream()
                .mapToDouble(fullTable -> changes.pendingEntries(fullTable) + binder.pendingBindEntries(fullTable))
                .max()
                .orElse(0);
        double stepEntries = BIND_DEPTH
                * context.flow().roundTripMs()
                * context.settings().channel().entriesPerMs();
        return (stepEntries + bindEntries) * DEPTH_RULE_MARGIN > maxPendingEntries;
    }

    /**
     * Whether the next piece of the table's sub-update fits into the queue and into the windows of all proxies. The
     * size includes the extra entries for proxies that other controllers were in charge of before.
     */
    private boolean fitsAllProxies(EndpointTable table) {
        Collection<ProxyState> proxies = context.registry().proxiesUsing(table);
        List<Host> piece = changes.nextPiece(table);
        int maxExtraEntries = proxies.stream()
                .mapToInt(proxy -> piece.stream()
                        .mapToInt(host -> context.writer().extraEntries(host, proxy))
                        .sum())
                .max()
                .orElse(0);
        double entries =
                Math.min(changes.pendingWrites(table), context.flow().maxPieceEntries(table)) + maxExtraEntries;
        return context.flow().mayWrite(proxies, entries, WritePriority.ORDINARY)
                && proxies.stream().allMatch(proxy -> context.flow().hasRoomInWindow(proxy, entries, table));
    }

    /** Whether any sub-update or bind is pending. */
    boolean isAnythingPending() {
        return context.registry().tables().stream()
                .anyMatch(table -> changes.pendingWrites(table) > 0 || binder.pendingBindEntries(table) > 0);
    }
}
