package linenring.cli;

import picocli.CommandLine;

/** The release of this program, read from the jar's manifest. */
final class Release {
    private Release() {}

    static String name() {
        String version = Release.class.getPackage().getImplementationVersion();
        return version == null ? "(not from a jar)" : version;
    }

    /** Supplies the text that {@code --version} prints. */
    static final class VersionProvider implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"linenring " + name()};
        }
    }
}
