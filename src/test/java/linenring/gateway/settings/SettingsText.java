package linenring.gateway.settings;

import linenring.settings.Names;

/** Settings from a test's text. */
public final class SettingsText {
    private SettingsText() {}

    /** Fails where the text has a mistake. */
    public static GatewaySettings parse(String text, Names names) {
        GatewaySettingsReader.Outcome read = GatewaySettingsReader.read("test.kdl", text, names);
        if (read.settings() == null) {
            throw new AssertionError(String.join("\n", read.faults()));
        }
        return read.settings();
    }
}
