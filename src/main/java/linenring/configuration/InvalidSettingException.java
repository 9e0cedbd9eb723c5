package linenring.configuration;

/**
 * A key of the configuration at fault, and what is wrong with it. Unchecked, since {@link linenring.settings.Lookup} leaves
 * the kind of exception to its sources; it becomes a {@link ConfigurationException} in the reader.
 */
final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** {@code fault} follows the key: after a colon where it begins with one, else after a blank. */
    InvalidSettingException(String key, String fault) {
        super(key + (fault.startsWith(":") ? fault : " " + fault), null, false, false);
    }
}
