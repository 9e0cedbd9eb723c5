/** Serves the many small connections of simulated peers with one thread and one selector. */
package linenring.scale.sockets;
