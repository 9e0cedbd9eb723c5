package linenring.kdl;

import java.util.List;

/** What came of reading a KDL text. */
sealed interface KdlReadResult {
    /** The text is KDL; these are its top-level nodes. */
    record Document(List<KdlNode> nodes) implements KdlReadResult {}

    /** The text is no KDL; the errors are in the order of their lines and at least one. */
    record Invalid(List<KdlError> errors) implements KdlReadResult {}
}
