/**
 * The event input of the control loop: {@link linenring.event.EventQueue} accepts messages, stream ends and host lists from other
 * threads. {@link linenring.event.ProxyStream} sends updates to a proxy.
 */
package linenring.event;
