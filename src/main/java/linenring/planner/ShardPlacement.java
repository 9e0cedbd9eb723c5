package linenring.planner;

import java.util.Comparator;
import java.util.List;

/**
 * Assigns each shard of the keys to its owner, the only host of the shard's table. Inputs: the shards that this
 * controller is in charge of, their owners, the lease and the time for which writes may continue after it (ms), and
 * the drain grace (ms).
 *
 * <p>Failure guarded against: two hosts that write the same shard, which loses writes. A shard that has lost its
 * owner gets the next owner only when no write to the last owner can be in progress. The wait includes the time for
 * which an owner assigned by another controller may continue to write. The cost is that the shard has no owner
 * during the wait.
 */
final class ShardPlacement {
    /** Wait before the next owner of a shard where several hosts may write it: none. */
    private static final double IMMEDIATE_CHANGE_MS = -1;

    private final PlannerContext context;
    private final double ownerChangeWaitMs;

    ShardPlacement(PlannerContext context) {
        this.context = context;
        PlannerSettings settings = context.settings();
        ownerChangeWaitMs = settings.shards().requiresSingleOwner()
                ? settings.shards().writesEndWithinMs() + settings.channel().drainGraceMs()
                : IMMEDIATE_CHANGE_MS;
    }

    /** Sets whether this controller is in charge of the shard from now on. */
    void setInCharge(int shard, boolean isInCharge) {
        // the owner that another controller has assigned may still be writing
        context.registry()
                .shardTable(shard)
                .discardOwnerAndEntries(isInCharge ? context.nowMs() : Double.POSITIVE_INFINITY);
    }

    /** Sets the owner of the shard; the shard's proxies already have an entry for the owner. */
    void setOwner(int shard, Host owner, double weight) {
        EndpointTable table = context.registry().shardTable(shard);
        table.setOwner(owner);
        table.setWeight(owner, weight);
    }

    /** Removes lost owners from their shards, and assigns the next owner to each shard whose wait has passed. */
    void placeShards() {
        List<EndpointTable> shards =
                context.registry().isSharded() ? context.registry().tables() : List.of();
        for (EndpointTable shard : shards) {
            if (shard.owner() != null && !shard.owner().isRunning()) {
                shard.clearOwner(context.nowMs());
            }
            if (shard.owner() == null && context.nowMs() - shard.ownerlessSinceMs() > ownerChangeWaitMs) {
                shard.setOwner(hostWithFewestShards());
            }
        }
    }

    private Host hostWithFewestShards() {
        return context.fleet().hosts().stream()
                .filter(host -> host.isRunning() && !host.isEjected())
                .min(Comparator.comparingDouble(this::shardsPerWeight))
                .orElse(null);
    }

    private double shardsPerWeight(Host host) {
        return context.registry().tables().stream()
                        .filter(table -> table.owner() == host)
                        .count()
                / host.weight();
    }
}
