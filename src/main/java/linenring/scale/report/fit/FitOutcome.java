package linenring.scale.report.fit;

import java.util.List;

/** What fitting came to. */
public sealed interface FitOutcome {
    /** The shape chosen, all that were possible (best first), and how it foretells the largest size. */
    record Fitted(Fit fit, List<Fit> candidates, HeldOut heldOut) implements FitOutcome {
        public Fitted {
            candidates = List.copyOf(candidates);
        }
    }

    /** Too few sizes were measured for any claim. */
    record TooFewSizes(int measured, int needed) implements FitOutcome {}
}
