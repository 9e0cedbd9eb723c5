/**
 * The messages between the controller and proxies, collectors and discovery, and their codec. {@link linenring.protocol.Codec} is
 * the entry point for encoding and decoding; names on the wire are used only inside this package. Invalid input from a peer never
 * causes an exception: decoding returns a {@link linenring.protocol.DecodeResult}.
 */
package linenring.protocol;
