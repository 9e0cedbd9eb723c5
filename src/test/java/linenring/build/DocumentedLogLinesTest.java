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
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Engineers on call look a log line up by its words. Each literal text in a call of the log must stand on one of the
 * operators' pages as the code has it.
 */
class DocumentedLogLinesTest {
    private static final Path SOURCES = Path.of("src/main/java/linenring");
    private static final List<Path> PAGES =
            List.of(Path.of("docs/oncall.md"), Path.of("docs/front.md"), Path.of("docs/upgrade.md"));

    private static final Pattern LOG_CALL = Pattern.compile("\\blog(?:\\(\\))?\\.(?:info|warn|error)\\(");
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");
    /** Shorter literals join variable parts and say nothing by themselves. */
    private static final int MIN_LETTERS = 6;

    private static String pages;

    @BeforeAll
    static void readPages() throws IOException {
        StringBuilder text = new StringBuilder();
        for (Path page : PAGES) {
            text.append(Files.readString(page));
        }
        pages = text.toString().replaceAll("\\s+", " ");
    }

    /** Scale runs log for their own reports; no operator reads those lines. */
    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.startsWith(SOURCES.resolve("scale")))
                    .sorted()
                    .toList();
        }
    }

    /** The arguments of the call whose opening bracket ends before {@code start}. */
    private static String arguments(String source, int start) {
        int depth = 1;
        boolean isQuoted = false;
        int end = start;
        while (depth > 0) {
            char character = source.charAt(end);
            if (character == '"' && source.charAt(end - 1) != '\\') {
                isQuoted = !isQuoted;
            } else if (!isQuoted && character == '(') {
                depth++;
            } else if (!isQuoted && character == ')') {
                depth--;
            }
            end++;
        }
        return source.substring(start, end - 1);
    }

    /** The literal texts of one call beside its subject, the first argument, without what joins them. */
    private static List<String> texts(String arguments) {
        List<String> texts = new ArrayList<>();
        Matcher literal = LITERAL.matcher(arguments.substring(arguments.indexOf(',')));
        while (literal.find()) {
            String text = literal.group(1).replaceAll("^[ :;,]+|[ :;,]+$", "");
            if (text.length() >= MIN_LETTERS) {
                texts.add(text);
            }
        }
        return texts;
    }

    @Test
    void everyLogLineStandsOnAnOperatorsPage() throws IOException {
        List<String> undocumented = new ArrayList<>();
        int calls = 0;
        for (Path file : sources()) {
            String source = Files.readString(file);
            Matcher call = LOG_CALL.matcher(source);
            while (call.find()) {
                calls++;
                texts(arguments(source, call.end())).stream()
                        .filter(text -> !pages.contains(text))
                        .forEach(text -> undocumented.add(file.getFileName() + ": " + text));
            }
        }
        assertEquals(List.of(), undocumented);
        assertTrue(calls > 30, "only " + calls + " log calls were found: the pattern no longer matches the code");
    }
}
