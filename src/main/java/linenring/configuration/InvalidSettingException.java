package linenring.configuration;

/**
 * A key of the configuration is missing or its value is invalid. Unchecked, since subclasses of
 * {@link linenring.settings.Lookup} select the type of exception; {@link ControllerConfigurationReader} converts it to a
 * {@link ConfigurationException}.
 */
final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message joins the key and {@code fault}, with a space between them unless {@code fault} begins with a colon. */
    InvalidSettingException(String key, String fault) {
        super(key + (fault.startsWith(":") ? fault : " " + fault), null, false, false);
    }
}
