package linenring.cli;

import picocli.CommandLine;

/** Which release this is, from the jar's manifest. */
final class Release {
    private Release() {}

    static String name() {
        String version = Release.class.getPackage().getImplementationVersion();
        return version == null ? "(not from a jar)" : version;
    }

    /** For {@code --version}. */
    static final class VersionProvider implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"linenring " + name()};
        }
    }
}
