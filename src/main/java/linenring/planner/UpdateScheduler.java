package linenring.planner;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Sends sub-updates by ESPRES. All pending changes of one shared table are one sub-update; the smallest goes first, as a batch,
 * once all its proxies have room in their windows of unacknowledged messages. Inputs: pending changes (entries, and entries times
 * proxies), round trip (ms), the windows and queue of {@link FlowControl}.
 *
 * <p>The depth rule: where binds would be the last to finish, a table's other entries wait for them, since proxies bound to
 * none of this controller's tables hold old ones. A large sub-update goes in pieces, as a whole one would never find room.
 */
final class UpdateScheduler {
    /** The margin of ESPRES (see docs/design.md) in the comparison of what finishes last. */
    private static final double DEPTH_RULE_MARGIN = 1.05;
    /** A bind has depth 2: another step, the clearing of the old table, comes after it. */
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

    /** Sends the smallest sub-update that may go; whether there was one. */
    boolean sendSubUpdate() {
        double gapMs = Math.max(context.flow().roundTripMs(), context.flow().messageGapMs());
        EndpointTable smallest = context.registry().tables().stream()
                .filter(table -> table.isEmpty() || context.flow().isGapOver(table, gapMs) || admission.isCutDue(table))
                .filter(table -> changes.count(table) > 0 && !onlyBinds(table) && allHaveRoom(table))
                .min(Comparator.comparingDouble(changes::unsentEntries))
                .orElse(null);
        if (smallest != null) {
            changes.write(smallest);
        }
        return smallest != null;
    }

    /** The depth rule: whether the table gets binds alone. */
    private boolean onlyBinds(EndpointTable table) {
        double binds = context.registry().isFull(table) ? binder.unsentEntries(table) : 0;
        if (binds == 0) {
            return false;
        }
        double longest = context.registry().fullTables().stream()
                .mapToDouble(full -> changes.unsentEntries(full) + binder.unsentEntries(full))
                .max()
                .orElse(0);
        double stepEntries = BIND_DEPTH
                * context.flow().roundTripMs()
                * context.settings().channel().entriesPerMs();
        return (stepEntries + binds) * DEPTH_RULE_MARGIN > longest;
    }

    /** Whether the next piece fits everywhere, with what it brings along at proxies that other controllers had before. */
    private boolean allHaveRoom(EndpointTable table) {
        Collection<ProxyState> users = context.registry().usersOf(table);
        List<Host> piece = changes.nextPiece(table);
        int extra = users.stream()
                .mapToInt(proxy -> piece.stream()
                        .mapToInt(host -> context.writer().extraEntries(host, proxy))
                        .sum())
                .max()
                .orElse(0);
        double entries = Math.min(changes.count(table), context.flow().maxPieceEntries(table)) + extra;
        return context.flow().mayWrite(users, entries, WritePriority.ORDINARY)
                && users.stream().allMatch(proxy -> context.flow().hasRoomInWindow(proxy, entries, table));
    }

    /** Whether anything is left to send. */
    boolean isAnythingPending() {
        return context.registry().tables().stream()
                .anyMatch(table -> changes.count(table) > 0 || binder.unsentEntries(table) > 0);
    }
}
