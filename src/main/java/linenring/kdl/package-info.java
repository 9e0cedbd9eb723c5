/**
 * Reads settings files in KDL 2 (kdl.dev/spec): a parser, the conversion to a JSON tree, the validation against a JSON Schema,
 * and values with units. Error messages name the line and the expected value. The grammar is {@code
 * src/main/antlr4/linenring/kdl/Kdl.g4}.
 */
package linenring.kdl;
