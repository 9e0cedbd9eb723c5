package linenring.scale.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class LaunchCommandTest {
    @Test
    void usesTheJvmFlagsOfTheDeployment() throws IOException {
        String runLine = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = LaunchCommand.command();
        for (String argument : runLine.split("[ \"]+", -1)) {
            if (argument.startsWith("-X") || argument.startsWith("-D")) {
                assertTrue(command.contains(argument), argument);
            }
        }
        assertEquals("serve", command.get(command.size() - 1));
    }

    @Test
    void rejectsADeploymentThatStartsNoJar() {
        assertThrows(IllegalStateException.class, () -> LaunchCommand.flags("run = \"exec ./controller\"\n"));
    }
}
