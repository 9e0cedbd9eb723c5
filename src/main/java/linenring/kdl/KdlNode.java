package linenring.kdl;

import java.util.List;
import java.util.Map;

/**
 * One node of a KDL document.
 *
 * @param type the annotation in brackets before the name, or null without one
 * @param properties by name, in the order of their first occurrence; of two with one name the last counts
 * @param line the line of the file on which it begins, from 1
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
     * @param content a String, Long, Double, Boolean or null, as the file has it
     * @param type the annotation in brackets before it, or null without one
     * @param line the line of the file on which it begins, from 1
     */
    record Value(Object content, String type, int line) {}
}
