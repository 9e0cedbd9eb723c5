package linenring.scale.report.fit;

import java.util.List;

/** The result of fitting. */
public sealed interface FitOutcome {
    /** The shape chosen, all that were possible (best first), and how it predicts the largest size. */
    record Fitted(Fit fit, List<Fit> candidates, HeldOut heldOut) implements FitOutcome {
        /** Copies the list, so that the value can't change. */
        public Fitted {
            candidates = List.copyOf(candidates);
        }
    }

    /** Too few sizes were measured for any claim. */
    record TooFewSizes(int measured, int needed) implements FitOutcome {}
}
