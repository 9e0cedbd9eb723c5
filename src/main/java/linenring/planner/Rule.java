package linenring.planner;

import java.util.function.Consumer;
import java.util.function.Predicate;

/** One rule of a reconciliation. */
@FunctionalInterface
interface Rule {
    /** Applies the rule; returns whether it changed anything that other rules may react to. */
    boolean apply();

    /** Returns a rule that prepares the work of later rules; its changes alone cause no further pass. */
    static Rule preparing(Runnable action) {
        return () -> {
            action.run();
            return false;
        };
    }

    /** Returns a rule that applies the action to each host that satisfies the condition at its turn. */
    static Rule forEachHost(Fleet fleet, Predicate<Host> condition, Consumer<Host> action) {
        return () -> fleet.forEachHost(condition, action);
    }
}
