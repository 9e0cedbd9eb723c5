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

/** The glossary is the authority on names: a type that it gives with its package must be there under that name. */
class GlossaryTest {
    private static final Path GLOSSARY = Path.of("docs/glossary.md");
    private static final Path SOURCES = Path.of("src/main/java/linenring");
    private static final Pattern QUALIFIED_TYPE = Pattern.compile("`((?:[a-z]+\\.)+)([A-Z]\\w+)`");

    @Test
    void everyTypeOfTheGlossaryExists() throws IOException {
        List<String> absent = new ArrayList<>();
        int types = 0;
        Matcher type = QUALIFIED_TYPE.matcher(Files.readString(GLOSSARY));
        while (type.find()) {
            types++;
            Path file = SOURCES.resolve(type.group(1).replace('.', '/')).resolve(type.group(2) + ".java");
            if (!Files.exists(file)) {
                absent.add(type.group());
            }
        }
        assertEquals(List.of(), absent);
        assertTrue(types > 30, "only " + types + " types were found: the pattern no longer matches the page");
    }
}
