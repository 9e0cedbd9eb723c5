/**
 * The only input of the control loop: {@link linenring.event.EventQueue} takes messages, ends of streams and host lists from other
 * threads. {@link linenring.event.ProxyStream} carries updates back to a proxy.
 */
package linenring.event;
