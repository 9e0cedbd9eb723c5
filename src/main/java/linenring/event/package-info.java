/**
 * The one way into the control loop: {@link linenring.event.EventQueue} takes messages, ends of streams and host lists from other
 * threads. {@link linenring.event.ProxyStream} is the way back out.
 */
package linenring.event;
