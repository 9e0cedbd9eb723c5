package linenring.scale.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class RunLineTest {
    @Test
    void takesTheFlagsOfTheDeployment() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = RunLine.command();
        for (String word : run.split("[ \"]+")) {
            if (word.startsWith("-X") || word.startsWith("-D")) {
                assertTrue(command.contains(word), word);
            }
        }
        assertEquals("serve", command.get(command.size() - 1));
    }

    @Test
    void saysSoWhereTheDeploymentStartsNoJar() {
        assertThrows(IllegalStateException.class, () -> RunLine.flags("run = \"exec ./steward\"\n"));
    }
}
