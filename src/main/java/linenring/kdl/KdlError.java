package linenring.kdl;

/**
 * One error in a KDL text.
 *
 * @param line line number of the error, counted from 1
 * @param message what was found and, if known, what was expected
 */
record KdlError(int line, String message) {}
