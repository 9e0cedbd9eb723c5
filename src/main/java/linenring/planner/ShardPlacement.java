package linenring.planner;

import java.util.Comparator;
import java.util.List;

/**
 * Gives each shard of the keys its owner, the one host of its table. Inputs: the shards that this controller is in charge of,
 * their owners, the lease and the time that writes may linger after it (ms), the drain grace (ms).
 *
 * <p>Failure guarded against: two hosts write the same shard. It shows as lost writes. The guard holds because a shard whose
 * owner is lost gets the next one only once no write can be in the hands of the last, the time that another controller's owner may
 * go on included. It costs that the shard has no owner during that time.
 */
final class ShardPlacement {
    /** Where a shard may have several writers the next owner comes at once. */
    private static final double WITHOUT_WAIT_MS = -1;

    private final PlannerContext context;
    private final double ownerlessForMs;

    ShardPlacement(PlannerContext context) {
        this.context = context;
        PlannerSettings settings = context.settings();
        ownerlessForMs = settings.shards().singleOwner()
                ? settings.shards().writesEndWithinMs() + settings.channel().drainGraceMs()
                : WITHOUT_WAIT_MS;
    }

    /** This controller is in charge of the shard from now on, or no more. */
    void setInCharge(int shard, boolean inCharge) {
        // another controller's owner may still be writing
        context.registry().ofShard(shard).resetOwner(inCharge ? context.nowMs() : Double.POSITIVE_INFINITY);
    }

    /** The shard is owned by the host, whose entry its proxies have. */
    void setOwner(int shard, Host owner, double weight) {
        EndpointTable table = context.registry().ofShard(shard);
        table.setOwner(owner);
        table.setWeight(owner, weight);
    }

    /** Takes shards from lost owners and gives those that may have one their next. */
    void place() {
        List<EndpointTable> shards =
                context.registry().isSharded() ? context.registry().tables() : List.of();
        for (EndpointTable shard : shards) {
            if (shard.owner() != null && !shard.owner().isRunning()) {
                shard.loseOwner(context.nowMs());
            }
            if (shard.owner() == null && context.nowMs() - shard.ownerlessSinceMs() > ownerlessForMs) {
                shard.setOwner(leastOwning());
            }
        }
    }

    private Host leastOwning() {
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
