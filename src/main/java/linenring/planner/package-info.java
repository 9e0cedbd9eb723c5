/**
 * The decision logic of a controller: which hosts each proxy may choose and with which weights, how many requests
 * proxies admit, and when each change is written.
 *
 * <p>{@link linenring.planner.Planner} is the façade: it receives the inputs and applies the rules in their order.
 * Each mechanism is a separate class that documents its inputs, constants and rationale. The planner acts through
 * {@link linenring.planner.Commands}. It has no clock and performs no input or output: the same inputs at the same
 * times result in the same commands. A planner is confined to one thread.
 */
package linenring.planner;
