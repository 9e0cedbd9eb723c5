package linenring.front.settings;

import linenring.settings.Names;

/** A plan from a story's text. */
public final class PlanText {
    private PlanText() {}

    public static FrontPlan plan(String text, Names names) {
        FrontPlanReader.Outcome read = FrontPlanReader.read("story.kdl", text, names);
        if (read.plan() == null) {
            throw new AssertionError(String.join("\n", read.faults()));
        }
        return read.plan();
    }
}
