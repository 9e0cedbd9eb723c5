package linenring.scale.report.fit;

import java.util.List;

/** The result of {@link FitChooser}. */
public sealed interface FitOutcome {
    /** The chosen fit, all candidates in ascending order of their criterion, and the test of the prediction at the largest size. */
    record Fitted(Fit fit, List<Fit> candidates, HeldOut heldOut) implements FitOutcome {
        /** Copies the list, so that the record is immutable. */
        public Fitted {
            candidates = List.copyOf(candidates);
        }
    }

    /** The samples have too few sizes for a fit. */
    record TooFewSizes(int measured, int needed) implements FitOutcome {}
}
