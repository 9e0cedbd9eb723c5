/**
 * The messages between the controller and proxies, collectors and discovery, and their codec. {@link linenring.protocol.Codec} is
 * the only place that knows the names on the wire; all others use the types of this package. Decoding never throws for what
 * a peer sent: it comes to a {@link linenring.protocol.DecodeResult}.
 */
package linenring.protocol;
