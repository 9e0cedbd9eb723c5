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

/** The command that starts a controller: the flags of the line {@code run} of deploy/balancer.toml, and the program that runs now. */
final class LaunchCommand {
    private static final String DEPLOYMENT = "balancer.toml";
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"exec java (.*?) -jar [^ \"]+ serve\"");
    /** A controller's machine has one core, and the JVM sizes its thread pools by that. */
    private static final String ONE_CORE = "-XX:ActiveProcessorCount=1";

    private LaunchCommand() {}

    /** The program and its arguments. */
    static List<String> command() {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
        command.addAll(flags(deployment()));
        command.add(ONE_CORE);
        command.add("-cp");
        command.add(absoluteClassPath());
        command.add("linenring.Main");
        command.add("serve");
        return command;
    }

    /** The JVM's flags in the text of the deployment. */
    static List<String> flags(String deployment) {
        Matcher run = RUN_LINE.matcher(deployment);
        if (!run.find()) {
            throw new IllegalStateException(DEPLOYMENT + " has no line 'run' that starts java with a jar");
        }
        return List.of(run.group(1).split(" +"));
    }

    private static String deployment() {
        try (InputStream resourceStream = LaunchCommand.class.getResourceAsStream(DEPLOYMENT)) {
            return new String(resourceStream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Absolute, since the child runs in a directory of its own. */
    private static String absoluteClassPath() {
        return String.join(
                File.pathSeparator,
                Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                        .map(entry -> new File(entry).getAbsolutePath())
                        .toList());
    }
}
