package linenring.scale.process;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Builds the command that starts a controller: the JVM flags of {@code run} in deploy/balancer.toml, and the class path of
 * this process.
 */
final class LaunchCommand {
    private static final String DEPLOYMENT = "balancer.toml";
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"exec java (.*?) -jar [^ \"]+ serve\"");
    /** Makes the JVM size its thread pools for one core, as on the machine that a controller runs on in production. */
    private static final String ONE_CORE_FLAG = "-XX:ActiveProcessorCount=1";

    private LaunchCommand() {}

    /** Returns the program that starts a controller, and its arguments. */
    static List<String> command() {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
        command.addAll(flags(readDeployment()));
        command.add(ONE_CORE_FLAG);
        command.add("-cp");
        command.add(absoluteClassPath());
        command.add("linenring.Main");
        command.add("serve");
        return command;
    }

    /** Returns the JVM flags in the text of the deployment file. */
    static List<String> flags(String deployment) {
        Matcher runLine = RUN_LINE.matcher(deployment);
        if (!runLine.find()) {
            throw new IllegalStateException(
                    DEPLOYMENT + ": expected a line run = \"exec java FLAGS -jar JAR serve\", found none");
        }
        return List.of(runLine.group(1).split(" +"));
    }

    private static String readDeployment() {
        try (InputStream resourceStream = LaunchCommand.class.getResourceAsStream(DEPLOYMENT)) {
            return new String(resourceStream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Returns the class path with absolute entries, since the child process runs in another directory. */
    private static String absoluteClassPath() {
        return String.join(
                File.pathSeparator,
                Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                        .map(entry -> new File(entry).getAbsolutePath())
                        .toList());
    }
}
