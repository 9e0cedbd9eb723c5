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
 * Engineers on call search the documentation for the text of a log line. Each string literal in a log call must therefore
 * appear verbatim on one of the operators' pages.
 */
class DocumentedLogLinesTest {
    private static final Path SOURCES = Path.of("src/main/java/linenring");
    private static final List<Path> PAGES =
            List.of(Path.of("docs/oncall.md"), Path.of("docs/front.md"), Path.of("docs/upgrade.md"));

    private static final Pattern LOG_CALL = Pattern.compile("\\blog(?:\\(\\))?\\.(?:info|warn|error)\\(");
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");
    /** Minimum length of a checked literal; shorter literals only separate variable parts of a message. */
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

    /** Returns the checked source files. Scale runs are excluded, since operators do not read their log lines. */
    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.startsWith(SOURCES.resolve("scale")))
                    .sorted()
                    .toList();
        }
    }

    /** Returns the argument list of a call whose opening parenthesis is just before {@code start}. */
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

    /** Returns the string literals of a log call except the subject (the first argument), without surrounding separators. */
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
    void everyLogTextIsDocumentedOnAnOperatorsPage() throws IOException {
        List<String> undocumented = new ArrayList<>();
        int callCount = 0;
        for (Path file : sources()) {
            String source = Files.readString(file);
            Matcher call = LOG_CALL.matcher(source);
            while (call.find()) {
                callCount++;
                texts(arguments(source, call.end())).stream()
                        .filter(text -> !pages.contains(text))
                        .forEach(text -> undocumented.add(file.getFileName() + ": " + text));
            }
        }
        assertEquals(List.of(), undocumented);
        assertTrue(
                callCount > 30, "only " + callCount + " log calls were found: the pattern no longer matches the code");
    }
}
