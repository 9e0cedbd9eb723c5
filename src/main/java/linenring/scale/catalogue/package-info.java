/** A discovery agent for measurements: its state and its scripted events without I/O, and a server on loopback. */
package linenring.scale.catalogue;
