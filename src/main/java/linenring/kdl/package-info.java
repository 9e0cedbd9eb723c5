/**
 * Settings files in KDL 2 (kdl.dev/spec): a reader, the tree that a JSON Schema checks, and units. Each error names the line of
 * the file and what was expected there. The grammar is {@code src/main/antlr4/linenring/kdl/Kdl.g4}.
 */
package linenring.kdl;
