package linenring.kdl;

/**
 * What is wrong with a text.
 *
 * @param line the line that it is on, from 1
 * @param message what was found, and what was expected where that is known
 */
record KdlError(int line, String message) {}
