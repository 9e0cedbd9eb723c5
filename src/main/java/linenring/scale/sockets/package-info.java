/** One thread with one selector that serves the many small connections of simulated peers. */
package linenring.scale.sockets;
