package linenring.build;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that each type that the glossary names with its package exists, so that the glossary stays up to date. */
class GlossaryTest {
    private static final Path GLOSSARY = Path.of("docs/glossary.md");
    private static final Path SOURCES = Path.of("src/main/java/linenring");
    private static final Pattern QUALIFIED_TYPE = Pattern.compile("`((?:[a-z]+\\.)+)([A-Z]\\w+)`");

    @Test
    void everyTypeInTheGlossaryExists() throws IOException {
        List<String> missingTypes = new ArrayList<>();
        int typeCount = 0;
        Matcher type = QUALIFIED_TYPE.matcher(Files.readString(GLOSSARY));
        while (type.find()) {
            typeCount++;
            Path file = SOURCES.resolve(type.group(1).replace('.', '/')).resolve(type.group(2) + ".java");
            if (!Files.exists(file)) {
                missingTypes.add(type.group());
            }
        }
        assertEquals(List.of(), missingTypes);
        assertTrue(typeCount > 30, "only " + typeCount + " types were found: the pattern no longer matches the page");
    }
}
