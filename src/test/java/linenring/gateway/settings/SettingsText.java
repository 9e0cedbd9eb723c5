package linenring.gateway.settings;

import linenring.settings.Names;

/** Parses gateway settings from the text of a test. */
public final class SettingsText {
    private SettingsText() {}

    /** Returns the parsed settings; fails the test if the text has a fault. */
    public static GatewaySettings parse(String text, Names names) {
        GatewaySettingsReader.Outcome outcome = GatewaySettingsReader.read("test.kdl", text, names);
        if (outcome.settings() == null) {
            throw new AssertionError(String.join("\n", outcome.faults()));
        }
        return outcome.settings();
    }
}
