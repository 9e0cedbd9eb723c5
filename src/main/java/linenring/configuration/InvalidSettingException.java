package linenring.configuration;

/** A key of the configuration at fault, and what is wrong with it; stops at {@link ControllerConfigurationReader#read}. */
final class InvalidSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidSettingException(String key, String what) {
        super(key + (what.startsWith(":") ? what : " " + what), null, false, false);
    }
}
