/** One thread with one selector that serves the many small connections of stand-ins. */
package linenring.scale.sockets;
