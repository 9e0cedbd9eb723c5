package linenring.planner;

import java.util.function.Consumer;
import java.util.function.Predicate;

/** One step of a reconciliation. */
@FunctionalInterface
interface Rule {
    /** Acts where it has to; whether it did, and so whether other rules may now find something to do. */
    boolean apply();

    /** A rule that prepares what later ones work with, which alone is no reason for another pass. */
    static Rule preparing(Runnable action) {
        return () -> {
            action.run();
            return false;
        };
    }

    /** A rule that acts on each host for which the condition holds when its turn comes. */
    static Rule forEachHost(Fleet fleet, Predicate<Host> condition, Consumer<Host> action) {
        return () -> fleet.forEachHost(condition, action);
    }
}
