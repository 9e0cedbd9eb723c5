package linenring.gateway.settings;

import linenring.settings.Names;

/** A plan from a story's text. */
public final class SettingsText {
    private SettingsText() {}

    public static GatewaySettings plan(String text, Names names) {
        GatewaySettingsReader.Outcome read = GatewaySettingsReader.read("story.kdl", text, names);
        if (read.plan() == null) {
            throw new AssertionError(String.join("\n", read.faults()));
        }
        return read.plan();
    }
}
