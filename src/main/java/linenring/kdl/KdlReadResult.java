package linenring.kdl;

import java.util.List;

/** Result of parsing a KDL text: its nodes or its errors. */
sealed interface KdlReadResult {
    /** The text is valid KDL; {@code nodes} are its top-level nodes. */
    record Document(List<KdlNode> nodes) implements KdlReadResult {}

    /** The text is not valid KDL; {@code errors} has at least one entry and is ordered by line. */
    record Invalid(List<KdlError> errors) implements KdlReadResult {}
}
