package linenring.kdl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class KdlReaderTest {
    private static List<KdlNode> nodes(String text) {
        KdlReadResult result = KdlReader.read(text);
        return assertInstanceOf(KdlReadResult.Document.class, result, result::toString)
                .nodes();
    }

    private static KdlError firstError(String text) {
        return assertInstanceOf(KdlReadResult.Invalid.class, KdlReader.read(text))
                .errors()
                .get(0);
    }

    private static Object value(String text) {
        return contents(nodes("n " + text).get(0)).get(0);
    }

    private static List<Object> contents(KdlNode node) {
        return node.arguments().stream().map(KdlNode.Value::content).toList();
    }

    @Test
    void readsArgumentsPropertiesChildrenAnnotationsAndLines() {
        List<KdlNode> nodes = nodes("// first\n(t)a 1 k=2 \"x\" { b; c #true\n}\nd /* over\nlines */ 5; e\n");
        assertEquals(List.of("a", "d", "e"), nodes.stream().map(KdlNode::name).toList());
        KdlNode first = nodes.get(0);
        assertEquals("t", first.type());
        assertEquals(List.of(1L, "x"), contents(first));
        assertEquals(2L, first.properties().get("k").content());
        assertEquals(2, first.children().size());
        assertEquals(List.of(2, 4, 5), nodes.stream().map(KdlNode::line).toList());
    }

    @Test
    void readsNumbersInEachNotation() {
        assertEquals(255L, value("0xff"));
        assertEquals(-8L, value("-0o10"));
        assertEquals(5L, value("0b1_01"));
        assertEquals(1500.0, value("1.5e3"));
        assertEquals(1_000_000L, value("1_000_000"));
    }

    @Test
    void readsKeywords() {
        assertEquals(Double.POSITIVE_INFINITY, value("#inf"));
        assertNull(nodes("n #null").get(0).arguments().get(0).content());
    }

    @Test
    void readsTextInEachNotation() {
        assertEquals("a\"b\n\u00e9", value("\"a\\\"b\\n\\u{e9}\""));
        assertEquals("a\\n \"b\"", value("##\"a\\n \"b\"\"##"));
        assertEquals("bare-word", value("bare-word"));
        assertEquals("one\n  two", value("\"\"\"\n    one\n      two\n    \"\"\""));
        assertEquals("ab", value("\"a\\   \n   b\""));
    }

    @Test
    void skipsElementsCommentedOutWithSlashDash() {
        List<KdlNode> nodes = nodes("/- gone { x }\na 1 /-2 /-k=3 4 /-{ x }\n");
        assertEquals(1, nodes.size());
        assertEquals(List.of(1L, 4L), contents(nodes.get(0)));
        assertTrue(nodes.get(0).properties().isEmpty());
        assertTrue(nodes.get(0).children().isEmpty());
    }

    @Test
    void continuesANodeOnTheNextLineAfterABackslash() {
        assertEquals(
                List.of(1L, 4L), contents(nodes("a 1 /-2 \\ // here\n  4\n").get(0)));
    }

    @Test
    void reportsTheLineOfAnError() {
        assertEquals(3, firstError("a\nb {\n").line());
        assertEquals(
                new KdlError(2, "'null' is written #null, or in quotes if text is meant"), firstError("a\nb null"));
        assertEquals(
                "'99999999999999999999' is out of the range of 64-bit integers",
                firstError("a 99999999999999999999").message());
    }

    /** Guards against deeply nested braces, which overflowed the stack of the recursive parser and ended the process. */
    @Test
    void rejectsDeepNestingBeforeParsing() {
        assertEquals(
                "children are nested more deeply than the limit of 64",
                firstError("a {".repeat(5000)).message());
    }

    @Test
    void rejectsInvalidUnicodeEscapes() {
        for (String escape : List.of("\\u{110000}", "\\u{d800}", "\\u{0000041}")) {
            assertEquals(
                    new KdlError(1, "\\u{...} is not a valid Unicode character"),
                    firstError("a \"" + escape + "\""),
                    escape);
        }
    }

    @Test
    void rejectsMultiLineStringIndentedLessThanItsClosingQuotes() {
        assertEquals(
                "a line of a multi-line string is indented less than its closing quotes",
                firstError("a \"\"\"\n  one\n    \"\"\"").message());
    }
}
