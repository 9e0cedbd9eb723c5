/** A discovery agent for measurements: its catalogue and scheduled changes, without I/O, and a server on loopback. */
package linenring.scale.catalogue;
