package linenring.kdl;

import java.util.List;
import java.util.Map;

/**
 * One node of a KDL document.
 *
 * @param type type annotation in parentheses before the name, or null if the node has none
 * @param properties property values by name, in order of first occurrence; a repeated property overrides the earlier value
 * @param line number of the line on which the node begins, counted from 1
 */
record KdlNode(
        String name,
        String type,
        List<Value> arguments,
        Map<String, Value> properties,
        List<KdlNode> children,
        int line) {
    /**
     * An argument or the value of a property.
     *
     * @param content a String, Long, Double, Boolean or null, depending on the notation in the file
     * @param type type annotation in parentheses before the value, or null if the value has none
     * @param line number of the line on which the value begins, counted from 1
     */
    record Value(Object content, String type, int line) {}
}
